"""The same register over etcd's v3 API, by the client library `aetcd`, for installations that run one.

A key holds what an embedded keeper would hold (revision, data, ids of changes), changed by a transaction that
compares the key's own mod_revision.  No lease of etcd is used, and only what is newest is read, so that neither a
lease that is lost nor a compaction takes anything away.  A store whose revision went back was put back from a copy:
it is not believed.
"""

from __future__ import annotations

import json

import aetcd

from fennelpoint.fleet.consensus import ROUNDS, Held, Unknown
from fennelpoint.fleet.register import Change
from fennelpoint.fleet.rpc import CallFailed

PREFIX = b"/larchwing/"
WAIT = 1            # s for a call; whole ones, as the library has it


class EtcdRegister:
    """`Register` (consensus.py) by one etcd endpoint."""

    def __init__(self, endpoint: str) -> None:
        """`endpoint` is HOST:PORT."""
        self.endpoint = endpoint
        self.host, _, port = endpoint.rpartition(":")
        self.port, self.client = int(port), None
        self.newest = 0         # the store's revision that was seen last
        self.last: dict[str, Held] = {}

    async def _get(self, key: str) -> tuple[int, object]:
        """The key's mod_revision, 0 where it is not there, and what it holds; linearizable, as etcd's reads are."""
        if self.client is None:     # made where its loop runs
            self.client = aetcd.Client(self.host, self.port, timeout=WAIT)
        try:
            found = await self.client.get(PREFIX + key.encode())
        except (aetcd.ClientError, OSError, TimeoutError) as error:
            raise CallFailed(f"etcd at {self.endpoint} does not answer: {_words(error)}") from None
        if found is None:
            if key in self.last and self.last[key].revision:
                raise CallFailed(f"etcd at {self.endpoint} has lost {key}: it is not believed")
            return 0, None
        revision = found.header.revision
        if revision < self.newest:
            raise CallFailed(f"the revision of etcd at {self.endpoint} went back from {self.newest} to {revision}: "
                             "it was put back from a copy, and is not believed")
        self.newest = revision
        try:
            value = json.loads(found.value)
            Held(value["rev"], value["data"], frozenset(made for made, _ in value["ids"]))
        except (ValueError, KeyError, TypeError):
            raise CallFailed(f"etcd at {self.endpoint} holds what is no register at {key}") from None
        if key in self.last and value["rev"] < self.last[key].revision:
            raise CallFailed(f"{key} at etcd went back from revision {self.last[key].revision} to {value['rev']}")
        return found.mod_revision, value

    async def read(self, key: str) -> Held:
        _, value = await self._get(key)
        held = Held(value["rev"], value["data"], frozenset(m for m, _ in value["ids"])) if value else Held(0, None)
        self.last[key] = held
        return held

    async def change(self, key: str, expect: int, data: object, change_id: str) -> int | None:
        change = Change(expect, data, change_id)
        for _ in range(ROUNDS):
            mod, held = await self._get(key)
            after = change(held)
            if after is held:
                return change.made_revision(held)
            if held is None and expect:
                return None
            name, text = PREFIX + key.encode(), json.dumps(after).encode()
            try:
                done, _ = await self.client.transaction(
                    compare=[self.client.transactions.mod(name) == mod],
                    success=[self.client.transactions.put(name, text)], failure=[])
            except (aetcd.ClientError, OSError, TimeoutError) as error:
                raise Unknown(f"etcd at {self.endpoint} gave no answer to a change: {_words(error)}") from None
            if done:
                return change.made_revision(after)
        raise Unknown(f"{ROUNDS} changes at etcd, and others came before each")

    def glance(self, key: str) -> Held:
        return self.last.get(key, Held(0, None))


def _words(error: BaseException) -> str:
    return str(error) or type(error).__name__
