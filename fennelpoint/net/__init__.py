"""The socket side of the ingress: bytes to `interface` events, actions to bytes.  It decides nothing."""
