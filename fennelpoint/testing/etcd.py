"""A stand-in for etcd: the few calls of its v3 KV service that are used here, as its API page states them.

It can lose answers after the commit, be silent, and be put back to an earlier state.
"""

from __future__ import annotations

import asyncio

import grpc
from aetcd import rpc


class Etcd:
    """KV.Range of one key and KV.Txn with compares of mod_revision and puts."""

    def __init__(self) -> None:
        self.revision, self.keys = 1, {}
        self.lose_answers = 0       # of the next changes that are made
        self.silent = False
        self.server: grpc.aio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> str:
        handlers = {name: grpc.unary_unary_rpc_method_handler(
            method, request_deserializer=kind.FromString, response_serializer=lambda m: m.SerializeToString())
            for name, method, kind in (("Range", self._range, rpc.RangeRequest),
                                       ("Txn", self._txn, rpc.TxnRequest))}
        self.server = grpc.aio.server()
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("etcdserverpb.KV", handlers),))
        self.address = f"127.0.0.1:{self.server.add_insecure_port(f'127.0.0.1:{port}')}"
        await self.server.start()
        return self.address

    async def stop(self) -> None:
        await self.server.stop(0.0)

    def copy(self) -> tuple:
        return self.revision, dict(self.keys)

    def put_back(self, copy: tuple) -> None:
        self.revision, self.keys = copy[0], dict(copy[1])

    def _header(self) -> rpc.ResponseHeader:
        return rpc.ResponseHeader(cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    async def _range(self, request: rpc.RangeRequest, context: grpc.aio.ServicerContext) -> rpc.RangeResponse:
        if self.silent:
            await asyncio.sleep(3600.0)
        kv = self.keys.get(request.key)
        found = [kv] if kv is not None else []
        return rpc.RangeResponse(header=self._header(), kvs=found, count=len(found))

    async def _txn(self, request: rpc.TxnRequest, context: grpc.aio.ServicerContext) -> rpc.TxnResponse:
        if self.silent:
            await asyncio.sleep(3600.0)
        for compare in request.compare:
            kv = self.keys.get(compare.key)
            if compare.result != rpc.Compare.EQUAL or (kv.mod_revision if kv else 0) != compare.mod_revision:
                return rpc.TxnResponse(header=self._header(), succeeded=False)
        self.revision += 1
        for op in request.success:
            put, old = op.request_put, self.keys.get(op.request_put.key)
            self.keys[put.key] = rpc.KeyValue(
                key=put.key, value=put.value, mod_revision=self.revision,
                create_revision=old.create_revision if old else self.revision,
                version=old.version + 1 if old else 1)
        if self.lose_answers:
            self.lose_answers -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the connection broke")
        return rpc.TxnResponse(header=self._header(), succeeded=True)
