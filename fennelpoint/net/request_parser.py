"""Validates the header fields of a client's request and builds the request for the decision module from them."""

from __future__ import annotations

import math
import re
from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.body_buffering import Upload
from fennelpoint.net.controller_host import ParsedRequest
from fennelpoint.net.exchange import HOP_BY_HOP

MAX_REMAINING_MS = 600_000  # ten minutes; a larger value is taken for an error
CUSTOMER_ID_LIMIT = 1 << 33  # exclusive
MAX_TERMS_BYTES = 128
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
ACCOUNT_COOKIE_PATTERN = re.compile(rb"account=[0-9a-f]{16}")
ALWAYS_FORWARDED = frozenset((b"x-txn", b"host"))
ROUTING_FIELDS = frozenset(
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
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-remaining-ms"}


class BadRequest(ValueError):
    """An invalid request: the text goes to the client, with this status."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class LocalReply(Exception):
    """The response to a valid request that the ingress answers without the decision module; keeps the connection."""

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        is_head_request: bool = False,
    ) -> None:
        super().__init__(status)
        self.status, self.headers, self.body = status, headers, body
        self.is_head_request = is_head_request  # the body is counted in Content-Length but not sent


def body_framing_field(body: bytes, upload: Upload | None) -> bytes:
    """The header field that frames the body for a backend."""
    if upload is not None and upload.content_length is None:
        return b"transfer-encoding: chunked"
    return b"content-length: %d" % (len(body) if upload is None else upload.content_length)


class RequestReader:
    """Builds requests for the decision module; class and plan names are resolved by the settings."""

    READY_PATH = b"/ready"  # answered by the process itself; None: no path is

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.parse_terms = lru_cache(1024)(self._parse_terms)  # few distinct values occur

    def split_fields(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], protected: frozenset[bytes] = frozenset()
    ) -> tuple[dict[bytes, bytes], list[bytes]]:
        """Return the fields that routing relies on, and the head lines to forward to a backend.

        A client's Connection field can't remove the fields in `protected`, nor those in `ALWAYS_FORWARDED`.
        """
        routing_fields: dict[bytes, bytes] = {}
        connection_options: set[bytes] = set()  # hop-by-hop fields named by the client
        lines = [method + b" " + url + b" HTTP/1.1"]
        for name, value in headers:
            if name in ROUTING_FIELDS:
                if name in routing_fields:  # ambiguous: other hops may use either value
                    raise BadRequest(f"{name.decode()} is given twice")
                routing_fields[name] = value
            elif name == b"connection":
                connection_options.update(option.strip().lower() for option in value.split(b","))
            if name not in NOT_FORWARDED:
                lines.append(name + b": " + value)
        if connection_options:
            connection_options -= ALWAYS_FORWARDED | protected
            lines[1:] = [line for line in lines[1:] if line.partition(b":")[0] not in connection_options]
        return routing_fields, lines

    def max_body_bytes(self) -> int:
        """Return the most bytes of a request body; 0: as many as the process can handle."""
        return 0

    def client_wait_s(self, headers: list[tuple[bytes, bytes]]) -> float:
        """Return for how long the client waits from the head on; inf if its time counts from the last byte."""
        return math.inf

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes, upload: Upload | None = None
    ) -> ParsedRequest:
        """Return the request for the decision module; raise BadRequest, or LocalReply if it is answered here.

        With an `upload`, the body is incomplete and will be streamed.
        """
        routing_fields, lines = self.split_fields(method, url, headers)
        txn = self.require_host_and_id(routing_fields)
        cls = self._require_index(routing_fields, b"x-lane", self.classes)
        is_safe = self.settings.classes[cls].effect is api.Effect.SAFE
        if method != (b"GET" if is_safe else b"POST"):
            raise BadRequest("the method is not the class's")
        if is_safe and (body or upload is not None):
            raise BadRequest("a GET has no body here")
        plan = self._require_index(routing_fields, b"api-plan", self.plans)
        time_left = self.read_time_left(routing_fields)
        terms = self._require(routing_fields, b"api-terms")
        units, width, first = self.parse_terms(terms)
        if not is_safe:
            lines.append(body_framing_field(body, upload))
        customer = self._read_customer(self._require(routing_fields, b"cookie"))
        return ParsedRequest(
            txn,
            cls,
            plan,
            customer,
            time_left,
            units,
            width,
            first,
            routing_fields.get(b"x-resent") == b"1",
            not is_safe,
            b"\r\n".join(lines) + b"\r\n",
            body,
            upload=upload,
        )

    def require_host_and_id(self, routing_fields: dict[bytes, bytes]) -> bytes:
        """Return the request's id; raise BadRequest if the id or the host is missing or invalid."""
        self._require(routing_fields, b"host")
        if REQUEST_ID_PATTERN.fullmatch(txn := self._require(routing_fields, b"x-txn")) is None:
            raise BadRequest("x-txn is not an id")
        return txn

    def read_time_left(self, routing_fields: dict[bytes, bytes]) -> float:
        """Return the seconds that the client will wait."""
        time_left = self._require(routing_fields, b"x-remaining-ms")
        if not time_left.isdigit() or len(time_left) > 9 or not 0 < int(time_left) <= MAX_REMAINING_MS:
            raise BadRequest("x-remaining-ms is not a number of milliseconds")
        return int(time_left) / 1000.0

    def _require(self, routing_fields: dict[bytes, bytes], name: bytes) -> bytes:
        if not (value := routing_fields.get(name)):
            raise BadRequest(f"{name.decode()} is missing")
        return value

    def _require_index(self, routing_fields: dict[bytes, bytes], name: bytes, table: dict[bytes, int]) -> int:
        if (index := table.get(self._require(routing_fields, name))) is None:
            raise BadRequest(f"{name.decode()} is none of this site's")
        return index

    def _read_customer(self, cookie: bytes) -> int:
        if (
            ACCOUNT_COOKIE_PATTERN.fullmatch(cookie) is not None
            and (customer := int(cookie[8:], 16)) < CUSTOMER_ID_LIMIT
        ):
            return customer  # the only cookie, in the usual form
        pairs = (part.strip().partition(b"=") for part in cookie.split(b";"))
        values = [value for name, _, value in pairs if name == b"account"]
        try:
            if len(values) == 1 and len(values[0]) == 16 and values[0].isalnum():
                if (customer := int(values[0], 16)) < CUSTOMER_ID_LIMIT:
                    return customer
        except ValueError:
            pass
        raise BadRequest("the cookie names no account")

    def _parse_terms(self, text: bytes, needs_units: bool = True) -> tuple[float | None, float, float]:
        """Return the units (None if absent and optional), and width and first index of the customer's ingress set."""
        if len(text) > MAX_TERMS_BYTES:
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
        max_units = self.settings.most_units or math.inf
        are_integers = width == width // 1 and first == first // 1
        if not (
            (units is None or 0.0 < units <= max_units)
            and 1 <= width <= self.settings.ingresses
            and 0 <= first < self.settings.ingresses
            and are_integers
        ):
            raise BadRequest("api-terms is out of range")
        return units, width, first
