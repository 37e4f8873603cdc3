"""Shared state of the ingresses: one replicated record, versions, leases and the audit trail (docs/fleet.md)."""
