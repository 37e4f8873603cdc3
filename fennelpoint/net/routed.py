"""The client side of a route table: which route a request is, and what is answered where it is none.

On only where the operator file names a description.  The table tells class and units; what the client says of
them may be left out and may not differ.
"""

from __future__ import annotations

import asyncio
import pickle
import re
from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.faults import Fault
from fennelpoint.net.host import Asked
from fennelpoint.net.notice import log
from fennelpoint.net.server import BadRequest, Reader, Reply
from fennelpoint.operator import Routes
from fennelpoint.routes import worker
from fennelpoint.routes.changes import Action, Changes, GiveUp, Load, Report, Take
from fennelpoint.routes.paths import PathError
from fennelpoint.routes.stamps import Stamp, stamp
from fennelpoint.routes.table import RouteTable, ValueFault

ABSOLUTE = re.compile(rb"https?://([^/?#]*)", re.IGNORECASE)
MOST_KEY = 256      # bytes of an idempotency key
TICK = 0.25         # s between looks at a load that is out
MOST_LINES = 20     # faults logged of one description; `larchwing check` tells all


class RoutedReader(Reader):
    """Reads requests by a route table.  `table` may be replaced between any two requests."""

    def __init__(self, settings: api.Settings, table: RouteTable) -> None:
        super().__init__(settings)
        self.table = table
        self.set_terms = lru_cache(1024)(lambda text: self._terms(text, needs_units=False))
        self.whole_set = (None, float(settings.ingresses), 0.0)     # for one that names no set: any ingress

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Asked:
        authority = None
        if url[:1] != b"/":
            if (match := ABSOLUTE.match(url)) is None:
                if url == b"*" and method == b"OPTIONS":
                    raise Reply(200)
                raise BadRequest("the target is no path")
            authority, url = match[1], url[match.end():] or b"/"    # RFC 9112, section 3.2.2
        path, mark, query = url.partition(b"?")
        try:
            path, item = self.table.look_up(path)
        except PathError as error:
            raise BadRequest(str(error)) from None
        if b"#" in query:
            raise BadRequest("the target holds a fragment")
        bare = method == b"HEAD"
        if item is None:
            raise Reply(404, body=b"there is no such path\n", bare=bare)
        if (route := item.get(method)) is None:
            if method == b"OPTIONS":
                raise Reply(200, ((b"allow", item.allow),))
            raise Reply(405, ((b"allow", item.allow),), b"the path has no such method\n", bare)
        if bare:
            method = b"GET"     # the backend's answer to it has the same head (RFC 9110, section 9.3.2)
        found, lines = self.fields(method, path + mark + query, headers, self.table.keys)
        self.host_and_id(found)
        if authority is not None and authority != found[b"host"]:
            raise BadRequest("the target's host is not the Host field's")
        if (lane := found.get(b"x-lane")) is not None and lane != route.cls_name.encode():
            raise BadRequest(f"x-lane is not the route's class, {route.cls_name}")
        if method == b"GET" and body:
            raise BadRequest("a GET has no body here")
        plan = self._known(found, b"api-plan", self.plans)
        if route.plans is not None and plan not in route.plans:
            raise Reply(403, body=b"the plan does not hold this route\n", bare=bare)
        left = self.time_left(found)
        terms = found.get(b"api-terms")
        said, width, first = self.set_terms(terms) if terms else self.whole_set
        try:
            units = route.units_of(path, query, headers)
        except ValueFault as error:
            raise BadRequest(str(error)) from None
        if said is not None and said != units:
            raise BadRequest(f"api-terms: units are not the route's, {units:g}")
        if route.key is not None:
            keys = route.values(route.key, path, query, headers)
            if len(keys) != 1 or not 0 < len(keys[0]) <= MOST_KEY:
                raise BadRequest(f"{route.key.name} must hold one key: the route is keyed")
        customer = self._customer(self._needed(found, b"cookie"))
        if method != b"GET":
            lines.append(b"content-length: %d" % len(body))
        safe = self.settings.classes[route.cls].effect is api.Effect.SAFE
        return Asked(found[b"x-txn"], route.cls, plan, customer, left, units, width, first,
                     found.get(b"x-resent") == b"1", not safe, b"\r\n".join(lines) + b"\r\n", body, bare)


class Follower:
    """Carries out what `Changes` says: looks at the files, runs the process that reads them, swaps the table.

    A request keeps the class, units and text that it was read with: it ends under the table it began under.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, reader: RoutedReader, settings: api.Settings,
                 routes: Routes, files: dict[str, Stamp]) -> None:
        self.loop, self.reader, self.settings, self.routes = loop, reader, settings, routes
        self.changes = Changes(routes.description, files, routes.load_timeout_s, routes.settle_s)
        self.running: dict[int, asyncio.Task] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def start(self) -> None:
        if self.routes.watch_interval_s > 0.0:
            self.loop.call_later(self.routes.watch_interval_s, self._look)

    def reload(self, routes: Routes) -> None:
        """SIGHUP: read the description anew, at the path that the operator file names now."""
        self._do(self.changes.told(self.loop.time(), routes.description))

    def _look(self) -> None:
        if self.closed:
            return
        self.loop.call_later(self.routes.watch_interval_s, self._look)
        self._do(self.changes.looked(self.loop.time(), {name: stamp(name) for name in self.changes.files}))

    def _tick(self) -> None:
        self.timer = None
        self._do(self.changes.tick(self.loop.time()))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Load):
                task = self.loop.create_task(self._read(action))
                self.running[action.number] = task
                task.add_done_callback(lambda task, number=action.number: self.running.pop(number, None))
            elif isinstance(action, GiveUp):
                self.running[action.number].cancel()
            elif isinstance(action, Take):
                self.reader.table = action.table
                log.info("the description is taken: version %d, %d routes", action.version,
                         len(action.table.routes))
            elif isinstance(action, Report):
                log.error("the description is not taken, the one before stays: %d faults", len(action.faults))
                for fault in action.faults[:MOST_LINES]:
                    log.error("%s", fault)
        if self.changes.loading is not None and self.timer is None and not self.closed:
            self.timer = self.loop.call_later(TICK, self._tick)

    async def _read(self, load: Load) -> None:
        pipe, process = asyncio.subprocess.PIPE, None
        try:
            process = await asyncio.create_subprocess_exec(
                *worker.command(load.path, self.routes.load_memory_mb, self.routes.load_timeout_s),
                stdin=pipe, stdout=pipe, stderr=pipe, start_new_session=True)
            output, errors = await process.communicate(pickle.dumps(self.settings))
            end = worker.outcome(load.path, process.returncode, output, errors)
            table = RouteTable()
            for chunk in end.chunks:    # in parts: those who are waited for have their turns between
                table.add(pickle.loads(chunk))
                await asyncio.sleep(0)
        except (OSError, pickle.PickleError, EOFError) as error:
            table, end = None, worker.End(
                [], (Fault(load.path, 0, "", f"the process that reads it failed: {error}"),))
        finally:
            if process is not None and process.returncode is None:
                process.kill()
        self._do(self.changes.ended(self.loop.time(), load.number, table, end.faults, end.files))

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.running.values()):
            task.cancel()
