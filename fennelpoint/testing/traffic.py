"""Clients' requests in the protocol's form, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fennelpoint.testing.servers import read_message

if TYPE_CHECKING:
    from fennelpoint.testing.ingress_harness import World

IDS = iter(range(1, 1 << 30))


def request(cls: str = "look", body: bytes = b"", left: int = 2000, path: str = "/api", drop: str = "",
            more: str = "", **fields: str) -> bytes:
    """A client's request; `fields` replace the usual ones (with _ for -), `drop` leaves one out."""
    said = {"Host": "app.svc", "X-Txn": f"{next(IDS):016x}", "X-Lane": cls, "Api-Plan": "basic",
            "Cookie": "account=00000000b4d65521", "X-Remaining-Ms": str(left),
            "Api-Terms": "units=1,spread=2,first=0"}
    if cls == "book" and "Transfer_Encoding" not in fields:
        said["Content-Length"] = str(len(body))
    said.update({name.replace("_", "-"): value for name, value in fields.items()})
    said.pop(drop, None)
    method = "GET" if cls == "look" else "POST"
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in said.items())]
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body


async def ask(made: World, data: bytes) -> tuple[str, dict[str, str], bytes]:
    """One request on a connection of its own; its answer."""
    reader, writer = await made.connect()
    writer.write(data)
    try:
        return await read_message(reader)
    finally:
        writer.close()
