"""The sockets of the ingress: bytes become `interface` events, actions become bytes.  It decides nothing."""
