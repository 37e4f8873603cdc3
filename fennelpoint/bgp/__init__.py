"""Announcing service addresses by BGP (docs/design/bgp.md): a speaker that tells and never learns.

`messages`, `updates`, `fsm` and `announcer` decide and do no I/O.
"""
