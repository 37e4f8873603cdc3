"""`roll`: knows backends, fronts and core machines, renews leases, and takes the calls from outside."""
