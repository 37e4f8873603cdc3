"""The whole load balancer: `span` carries the traffic, `roll` knows who there is, `writ` keeps the configuration.

Design: docs/design/system.md.  Deciders do no I/O: events with the time in, actions out.
"""
