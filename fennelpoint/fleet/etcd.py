"""The register of the fleet's state on etcd (v3 API, client library `aetcd`), for installations that run etcd.

A key holds the same value as an embedded acceptor (revision, data, ids of changes) and is changed by a transaction
that compares the key's mod_revision.  No etcd lease is used and only the newest revision is read, so that neither a
lost lease nor a compaction loses anything.  A store whose revision went back was restored from a backup, and its
answers are rejected.

"""

from __future__ import annotations

import json

import aetcd

from fennelpoint.fleet.consensus import MAX_ROUNDS, UnknownOutcome, VersionedValue
from fennelpoint.fleet.register import Change
from fennelpoint.fleet.rpc import CallFailed

PREFIX = b"/larchwing/"
CALL_TIMEOUT_S = 1      # the client library takes whole seconds


class EtcdRegister:
    """Implements `Register` (consensus.py) on one etcd endpoint."""

    def __init__(self, endpoint: str) -> None:
        """`endpoint` is HOST:PORT."""
        self.endpoint = endpoint
        self.host, _, port = endpoint.rpartition(":")
        self.port, self.client = int(port), None
        self.latest_revision = 0    # the highest revision of the etcd store in any answer
        self.last_values: dict[str, VersionedValue] = {}

    async def _get(self, key: str) -> tuple[int, object]:
        """Returns the key's mod_revision (0 if it does not exist) and its value, by a linearizable read."""
        if self.client is None:     # created here because the client binds to the running event loop
            self.client = aetcd.Client(self.host, self.port, timeout=CALL_TIMEOUT_S)
        try:
            response = await self.client.get(PREFIX + key.encode())
        except (aetcd.ClientError, OSError, TimeoutError) as error:
            raise CallFailed(f"etcd at {self.endpoint} does not answer: {_error_text(error)}") from None
        if response is None:
            if key in self.last_values and self.last_values[key].revision:
                raise CallFailed(f"etcd at {self.endpoint} has lost {key}: its answer is rejected")
            return 0, None
        revision = response.header.revision
        if revision < self.latest_revision:
            raise CallFailed(f"the revision of etcd at {self.endpoint} went back from {self.latest_revision} "
                             f"to {revision}: it was restored from a backup, its answers are rejected")
        self.latest_revision = revision
        try:
            value = json.loads(response.value)
            VersionedValue(value["rev"], value["data"], frozenset(change_id for change_id, _ in value["ids"]))
        except (ValueError, KeyError, TypeError):
            raise CallFailed(f"etcd at {self.endpoint} holds an invalid register value at {key}") from None
        if key in self.last_values and value["rev"] < self.last_values[key].revision:
            raise CallFailed(f"{key} at etcd went back from revision {self.last_values[key].revision} "
                             f"to {value['rev']}")
        return response.mod_revision, value

    async def read(self, key: str) -> VersionedValue:
        """Returns the newest value; raises CallFailed if etcd does not answer or its data went back."""
        _, value = await self._get(key)
        current = (VersionedValue(value["rev"], value["data"], frozenset(change_id for change_id, _ in value["ids"]))
                   if value else VersionedValue(0, None))
        self.last_values[key] = current
        return current

    async def change(self, key: str, expected_revision: int, data: object, change_id: str) -> int | None:
        """See `Register.change`."""
        change = Change(expected_revision, data, change_id)
        for _ in range(MAX_ROUNDS):
            mod_revision, current = await self._get(key)
            updated = change(current)
            if updated is current:
                return change.made_revision(current)
            if current is None and expected_revision:
                return None
            name, text = PREFIX + key.encode(), json.dumps(updated).encode()
            try:
                succeeded, _ = await self.client.transaction(
                    compare=[self.client.transactions.mod(name) == mod_revision],
                    success=[self.client.transactions.put(name, text)], failure=[])
            except (aetcd.ClientError, OSError, TimeoutError) as error:
                raise UnknownOutcome(
                    f"etcd at {self.endpoint} did not answer a change: {_error_text(error)}") from None
            if succeeded:
                return change.made_revision(updated)
        raise UnknownOutcome(f"{MAX_ROUNDS} attempts of a change at etcd failed: other changes came first")

    def read_local(self, key: str) -> VersionedValue:
        """Returns the value of the latest read, which may be outdated."""
        return self.last_values.get(key, VersionedValue(0, None))


def _error_text(error: BaseException) -> str:
    return str(error) or type(error).__name__
