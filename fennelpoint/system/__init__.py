"""The whole load balancer: `span` is the proxy, `roll` the registry and `writ` the replicated configuration store.

Design: docs/design/system.md.  State machines do no I/O: they take events with the time and return actions.
"""
