"""The network side of the ingress: turns input into `interface` events, and actions into output.  Decides nothing."""
