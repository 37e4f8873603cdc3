"""A control service for proxies that are not ours, over xDS; `docs/control-service.md` tells how to use it.

`labels`, `membership` and `streams` decide and do no I/O; `resources` writes Envoy's protobufs; `server` and
`service` are the thin gRPC side.  The extra `xds` brings what these need; the ingress loads none of it.
"""
