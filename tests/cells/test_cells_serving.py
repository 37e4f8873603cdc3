"""Cells in a running ingress: whom a flood or lost nodes harm, reloads, moves."""

import asyncio
import contextlib
from collections import Counter

from fennelpoint.operator_config import read_operator
from fennelpoint.testing import (
    Backend,
    Fake,
    ask,
    cells_demo,
    member,
    ok,
    read_message,
    request,
    run,
    until,
    world,
)

EAST, WEST = 0x11, 0x22
PLENTY = [{"name": "basic", "pays": 1.0, "quota_rate": 1e5, "store_size": 1e5}]
PLAN = """version = {version}
[[cells]]
name = "east"
nodes = ["s-0", "s-1"]
agencies = {east}
[[cells]]
name = "west"
nodes = ["s-2", "s-3"]
take = 1.0
"""


def operator(tmp_path, version: int = 1, east: tuple[int, ...] = (EAST,)):
    names = "[" + ", ".join(f'"{a:016x}"' for a in east) + "]"
    (tmp_path / "cells.toml").write_text(PLAN.format(version=version, east=names))
    (tmp_path / "operator.toml").write_text('schema = 1\n[cells]\nplan = "cells.toml"\n')
    return read_operator(tmp_path / "operator.toml")


def of(customer: int, cls: str = "look", left: int = 2000) -> bytes:
    return request(cls, b"x" if cls == "book" else b"", left=left, Cookie=f"account={customer:016x}")


def backends(delay: float = 0.0) -> list[Backend]:
    made = [Backend(lambda line, fields, body: ok(fields["cookie"][-2:].encode())) for _ in range(4)]
    for backend in made[:2]:
        backend.delay = delay
    return made


def whom(made) -> list[set[str]]:
    return [{fields["cookie"][-2:] for _, fields, _ in b.seen} for b in made]


def test_agencies_reach_the_nodes_of_their_cell_only(tmp_path):
    async def play() -> None:
        nodes = backends()
        async with world(*nodes, operator=operator(tmp_path), contracts=PLENTY) as made:
            for customer in (EAST, WEST, 0x33) * 6:
                assert (await ask(made, of(customer)))[0].endswith("200 OK")
            seen = whom(nodes)
            assert seen[0] | seen[1] == {"11"} and seen[2] | seen[3] == {"22", "33"}

    run(play())


class Slots(Fake):
    """A node that works on two requests at a time; those of the east are heavy, wherever they come."""

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.slots = asyncio.Semaphore(2)

    async def _handle(self, reader, writer) -> None:
        while True:
            _, fields, _ = await read_message(reader)
            async with self.slots:
                await asyncio.sleep(0.7 if fields["cookie"].endswith("11") else 0.01)
            writer.write(ok(b"yes"))


async def service(made, seconds: float, flood: int) -> float:
    """The share of the west's requests that are served in 0.4 s, while the east asks so much at once."""
    ends, stop = Counter(), asyncio.Event()

    async def east() -> None:
        while not stop.is_set():
            try:
                await asyncio.wait_for(ask(made, of(EAST)), 3.0)
            except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.005)

    async def west() -> None:
        while not stop.is_set():
            try:
                line, _, _ = await asyncio.wait_for(ask(made, of(WEST)), 0.4)
                ends[line.split()[1] == "200"] += 1
            except TimeoutError:
                ends[False] += 1
            await asyncio.sleep(0.02)

    tasks = [asyncio.ensure_future(one()) for one in (*[east] * flood, *[west] * 4)]
    await asyncio.sleep(seconds)
    stop.set()
    await asyncio.gather(*tasks)
    return ends[True] / sum(ends.values())


def test_a_flood_of_heavy_requests_harms_its_own_cell_and_not_the_others(tmp_path):
    async def play() -> None:
        served = {}
        for name, cells, flood in (("trouble off", True, 0), ("cells", True, 60), ("no cells", False, 60)):
            plan = operator(tmp_path) if cells else None
            async with world(*(Slots() for _ in range(4)), operator=plan, contracts=PLENTY) as made:
                served[name] = await service(made, 4.0, flood)
        assert served["trouble off"] > 0.99 and served["cells"] >= 0.99 * served["trouble off"], served
        assert served["no cells"] < 0.9, served

    run(play(), 60.0)


def test_a_cell_whose_nodes_are_all_dead_is_refused_at_once_and_the_others_are_served(tmp_path):
    async def play() -> None:
        nodes = backends()
        async with world(*nodes, operator=operator(tmp_path), contracts=PLENTY) as made:
            assert (await ask(made, of(EAST)))[0].endswith("200 OK")
            for node in nodes[:2]:
                node.stop()
            loop = asyncio.get_running_loop()
            refused = 0
            for _ in range(12):
                began = loop.time()
                line, fields, _ = await ask(made, of(EAST))
                if line.split()[1] == "503" and loop.time() - began < 0.1:
                    refused += 0.0 < float(fields["retry-after"]) <= 0.5
                assert (await ask(made, of(WEST)))[0].endswith("200 OK")
            assert refused >= 6
            assert set.union(*whom(nodes[2:])) == {"22"}

    run(play(), 60.0)


def test_a_reload_moves_an_agency_and_a_bad_or_lower_plan_changes_nothing(tmp_path, caplog):
    async def play() -> None:
        nodes = backends()
        async with world(*nodes, operator=operator(tmp_path, version=5), contracts=PLENTY) as made:
            cells = made.ingress.host.cells
            assert cells.cell_of(WEST) == "west"
            operator(tmp_path, version=6, east=(EAST, WEST))
            made.ingress.reload()
            assert cells.cell_of(WEST) == "east"
            before = [len(n.seen) for n in nodes[2:]]
            for _ in range(4):
                assert (await ask(made, of(WEST)))[0].endswith("200 OK")
            assert [len(n.seen) for n in nodes[2:]] == before
            operator(tmp_path, version=5, east=(EAST,))     # the older plan comes back
            made.ingress.reload()
            assert cells.cell_of(WEST) == "east" and "5 is lower than 6" in caplog.text
            (tmp_path / "cells.toml").write_text("version = 9\n[[cells]]\n")
            made.ingress.reload()
            assert cells.cell_of(WEST) == "east" and "cells.toml:2" in caplog.text

    run(play())


def test_a_move_to_a_cell_without_nodes_waits_for_one_while_its_agency_is_served(tmp_path):
    """The west's nodes are listed after the plan that moves an agency there."""
    async def play() -> None:
        nodes = backends()
        async with world(*nodes, operator=operator(tmp_path), contracts=PLENTY) as made:
            west = [m for m in made.list.members if m["id"] in ("s-2", "s-3")]
            made.list.tell(*({**m, "phase": "removed"} for m in west))
            cells = made.ingress.host.cells
            await until(lambda: len(cells.nodes) == 2)
            operator(tmp_path, version=2, east=())
            made.ingress.reload()
            assert cells.cell_of(EAST) == "east" and cells.moves.summary() == "1 planned"
            for _ in range(4):
                assert (await ask(made, of(EAST)))[0].endswith("200 OK")
            assert not whom(nodes[2:])[0] | whom(nodes[2:])[1]
            made.list.tell(*west)
            await until(lambda: cells.cell_of(EAST) == "west")
            assert (await ask(made, of(EAST)))[0].endswith("200 OK")
            assert whom(nodes[2:])[0] | whom(nodes[2:])[1] == {"11"} and cells.moves.summary() == "1 moved"

    run(play())


def test_a_waiting_request_goes_along_and_is_answered_once(tmp_path):
    async def play() -> None:
        nodes = backends()
        for node in nodes[:2]:
            node.answer = lambda *_: None
        async with world(*nodes, operator=operator(tmp_path), contracts=PLENTY) as made:
            crowd = made.ingress.host.controller.selection.cells["east"]
            crowd.window = 2
            tries = [asyncio.ensure_future(ask(made, of(EAST, "book", left=6000))) for _ in range(5)]
            await until(lambda: len(made.ingress.host.controller.requests.waiting) == 3)
            operator(tmp_path, version=2, east=())
            made.ingress.reload()
            await until(lambda: sum(t.done() for t in tries) == 3)
            for node in nodes[:2]:
                for writer in node.writers:
                    writer.write(ok(b"late"))
            lines = [(await one)[0] for one in tries]
            assert all(line.endswith("200 OK") for line in lines)
            ids = Counter(fields["x-txn"] for n in nodes for _, fields, _ in n.seen)
            assert len(ids) == 5 and set(ids.values()) == {1}

    run(play())


def test_a_node_that_joins_is_in_its_cell_at_once(tmp_path):
    async def play() -> None:
        nodes = backends()
        async with world(*nodes, operator=operator(tmp_path), contracts=PLENTY) as made:
            new = Backend()
            address = await new.start()
            made.list.tell(member("s-1", nodes[1].address, "removed"), member("s-9", address))
            await until(lambda: "s-9" in made.ingress.host.controller.fleet.backends)
            for _ in range(6):
                await ask(made, of(EAST))
            assert not new.seen     # no cell names it, and none takes a part of the rest
            assert made.ingress.host.cells.posted_members["east"] == {"s-0"}
            new.stop()

    run(play())


class Mortal(Fake):
    """A node that dies of the east's requests and is back after a while."""

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.deaths = 0

    async def _handle(self, reader, writer) -> None:
        while True:
            _, fields, _ = await read_message(reader)
            if fields["cookie"].endswith("11"):
                return self._die()
            await asyncio.sleep(0.005)
            writer.write(ok(b"yes"))

    def _die(self) -> None:
        self.deaths += 1
        self.stop()
        asyncio.get_running_loop().call_later(0.4, lambda: asyncio.ensure_future(self._back()))

    async def _back(self) -> None:
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))


def test_an_agency_whose_requests_kill_nodes_is_kept_in_quarantine(tmp_path, caplog):
    async def play(quarantine: bool) -> tuple[int, int]:
        """Deaths outside of the quarantine in the second half, and all."""
        nodes = [Mortal() for _ in range(8)]
        (tmp_path / "cells.toml").write_text(
            "version = 1\n" + 'quarantine = "jail"\n' * quarantine + '[[cells]]\nname = "jail"\nnodes = '
            '["s-7"]\n[[cells]]\nname = "main"\npart = 1.0\ntake = 1.0\n')
        (tmp_path / "operator.toml").write_text('schema = 1\n[cells]\nplan = "cells.toml"\n')
        plan = read_operator(tmp_path / "operator.toml")
        async with world(*nodes, operator=plan, contracts=PLENTY) as made:
            stop = asyncio.Event()

            async def others(customer: int) -> None:
                while not stop.is_set():
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await ask(made, of(customer))
                    await asyncio.sleep(0.02)

            tasks = [asyncio.ensure_future(others(c)) for c in range(0x20, 0x30)]
            half = 0
            for i in range(24):
                await asyncio.sleep(0.25)
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await ask(made, of(EAST, "book", left=1500))
                if i == 11:
                    half = sum(node.deaths for node in nodes[:7])
            stop.set()
            await asyncio.gather(*tasks)
            return sum(node.deaths for node in nodes[:7]) - half, sum(node.deaths for node in nodes)

    result: dict[bool, tuple[int, int]] = {}

    async def both() -> None:
        result[True] = await play(True)
        assert "agency 0000000000000011 is quarantined in jail" in caplog.text
        assert caplog.text.count("is quarantined in jail") == 1    # nobody else is accused
        result[False] = await play(False)

    run(both(), 60.0)
    assert result[True][0] == 0 and result[False][0] >= 6, result


def test_three_real_ingresses_keep_the_others_service_through_a_flood_and_dead_nodes():
    """The proof of cells, short: at least 99 % of what the others have without the trouble."""
    async def play() -> None:
        calm = await cells_demo.play("", True, 3.0)
        for trouble in ("flood", "dead"):
            served = await cells_demo.play(trouble, True, 3.0)
            one = 1.0 / (cells_demo.QUOTA * 3.0)    # request of so few, that the machine may be late with
            kept = [served[name] >= 0.99 * calm[name] - one for name in ("west", "north")]
            assert all(kept), (trouble, served)

    run(play(), 90.0)
