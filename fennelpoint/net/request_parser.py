"""Turns the fields of a client's request into what the module is asked; nothing that can't be trusted goes on."""

from __future__ import annotations

import math
import re
from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.net.backends import HOP_BY_HOP
from fennelpoint.net.controller_host import ParsedRequest

MOST_LEFT_MS = 600_000  # ms; a longer wait is not meant
MOST_CUSTOMER = 1 << 33
MOST_TERMS = 128  # bytes
ID = re.compile(rb"[!-~]{1,128}")
ACCOUNT = re.compile(rb"account=[0-9a-f]{16}")
ALWAYS_PASSED_ON = frozenset((b"x-txn", b"host"))
ROUTING = frozenset(
    (
        b"x-txn",
        b"x-lane",
        b"api-plan",
        b"x-remaining-ms",
        b"api-terms",
        b"cookie",
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"x-resent",
    )
)
NOT_PASSED_ON = HOP_BY_HOP | {b"expect", b"x-remaining-ms"}


class BadRequest(ValueError):
    """What is wrong with a request, with the status that says so."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class Reply(Exception):
    """A sound request that the ingress answers itself, without asking the module; the connection stays."""

    def __init__(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...] = (), body: bytes = b"", bare: bool = False
    ) -> None:
        super().__init__(status)
        self.status, self.headers, self.body = status, headers, body
        self.bare = bare  # the request is a HEAD: the body is only counted


def framing(body: bytes, upload: Upload | None) -> bytes:
    """The field that tells a backend where the body ends."""
    if upload is not None and upload.content_length is None:
        return b"transfer-encoding: chunked"
    return b"content-length: %d" % (len(body) if upload is None else upload.content_length)


class Reader:
    """Turns the fields of a request into what the module is asked, by the settings' names."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.terms = lru_cache(1024)(self._terms)  # few are ever told apart

    def fields(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], kept: frozenset[bytes] = frozenset()
    ) -> tuple[dict[bytes, bytes], list[bytes]]:
        """The fields that the routing goes by, and the lines that go on to a backend.

        `kept` are further fields that a client's Connection field can't take out.
        """
        found: dict[bytes, bytes] = {}
        options: set[bytes] = set()  # fields that are for this connection only, by the client's word
        lines = [method + b" " + url + b" HTTP/1.1"]
        for name, value in headers:
            if name in ROUTING:
                if name in found:  # which of them counts would be anybody's guess
                    raise BadRequest(f"{name.decode()} is given twice")
                found[name] = value
            elif name == b"connection":
                options.update(word.strip().lower() for word in value.split(b","))
            if name not in NOT_PASSED_ON:
                lines.append(name + b": " + value)
        if options:
            options -= ALWAYS_PASSED_ON | kept
            lines[1:] = [line for line in lines[1:] if line.partition(b":")[0] not in options]
        return found, lines

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes, upload: Upload | None = None
    ) -> ParsedRequest:
        """A request as the module is asked; raises BadRequest, and Reply where it is answered here.

        With an `upload` the body is still to come whole.
        """
        found, lines = self.fields(method, url, headers)
        txn = self.host_and_id(found)
        cls = self._known(found, b"x-lane", self.classes)
        safe = self.settings.classes[cls].effect is api.Effect.SAFE
        if method != (b"GET" if safe else b"POST"):
            raise BadRequest("the method is not the class's")
        if safe and (body or upload is not None):
            raise BadRequest("a GET has no body here")
        plan = self._known(found, b"api-plan", self.plans)
        left = self.time_left(found)
        terms = self._needed(found, b"api-terms")
        units, width, first = self.terms(terms)
        if not safe:
            lines.append(framing(body, upload))
        customer = self._customer(self._needed(found, b"cookie"))
        return ParsedRequest(
            txn,
            cls,
            plan,
            customer,
            left,
            units,
            width,
            first,
            found.get(b"x-resent") == b"1",
            not safe,
            b"\r\n".join(lines) + b"\r\n",
            body,
            upload=upload,
        )

    def host_and_id(self, found: dict[bytes, bytes]) -> bytes:
        """The request's id, of a request that names its host."""
        self._needed(found, b"host")
        if ID.fullmatch(txn := self._needed(found, b"x-txn")) is None:
            raise BadRequest("x-txn is not an id")
        return txn

    def time_left(self, found: dict[bytes, bytes]) -> float:
        """Seconds that the client will wait."""
        left = self._needed(found, b"x-remaining-ms")
        if not left.isdigit() or len(left) > 9 or not 0 < int(left) <= MOST_LEFT_MS:
            raise BadRequest("x-remaining-ms is not a number of milliseconds")
        return int(left) / 1000.0

    def _needed(self, found: dict[bytes, bytes], name: bytes) -> bytes:
        if not (value := found.get(name)):
            raise BadRequest(f"{name.decode()} is missing")
        return value

    def _known(self, found: dict[bytes, bytes], name: bytes, table: dict[bytes, int]) -> int:
        if (index := table.get(self._needed(found, name))) is None:
            raise BadRequest(f"{name.decode()} is none of this site's")
        return index

    def _customer(self, cookie: bytes) -> int:
        if ACCOUNT.fullmatch(cookie) is not None and (customer := int(cookie[8:], 16)) < MOST_CUSTOMER:
            return customer  # the usual form
        pairs = (part.strip().partition(b"=") for part in cookie.split(b";"))
        values = [value for name, _, value in pairs if name == b"account"]
        try:
            if len(values) == 1 and len(values[0]) == 16 and values[0].isalnum():
                if (customer := int(values[0], 16)) < MOST_CUSTOMER:
                    return customer
        except ValueError:
            pass
        raise BadRequest("the cookie names no account")

    def _terms(self, text: bytes, needs_units: bool = True) -> tuple[float | None, float, float]:
        """Units, where they must or do stand there, and the customer's set."""
        if len(text) > MOST_TERMS:
            raise BadRequest("api-terms is too long")
        terms: dict[bytes, float] = {}
        try:
            for part in text.split(b","):
                name, _, value = part.strip().partition(b"=")
                if name in terms or b"_" in value:
                    raise BadRequest("api-terms can't be read")
                terms[name] = float(value)
            units = terms[b"units"] if needs_units else terms.get(b"units")
            width, first = terms[b"spread"], terms[b"first"]
        except (ValueError, KeyError):
            raise BadRequest("api-terms can't be read") from None
        most = self.settings.most_units or math.inf
        whole = width == width // 1 and first == first // 1
        if not (
            (units is None or 0.0 < units <= most)
            and 1 <= width <= self.settings.ingresses
            and 0 <= first < self.settings.ingresses
            and whole
        ):
            raise BadRequest("api-terms is out of range")
        return units, width, first
