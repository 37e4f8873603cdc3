"""What the ingresses agree on: one small record, versions, licences, the audit (docs/fleet.md)."""
