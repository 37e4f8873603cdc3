"""`span`: the front.  The present ingress and its decision module, told by the core what holds."""
