"""The proxy role (`span`): the ingress server and its decision module, under leases and grants from the core."""
