"""The registry (`roll`): tracks backends, proxies and core machines, renews leases and serves calls from outside."""
