"""A proxy of the system in the process of a test, with real sockets; the test stands in for the core machines."""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fennelpoint.system import settings
from fennelpoint.system.mesh import ROLES
from fennelpoint.system.proxy.program import Program
from fennelpoint.testing.process import free_port, free_ports

CORE = "roll@127.0.0.9"
SERVICE = "svc"
FIRST_VERSION = 3
CONFIGURATION = {
    "version": FIRST_VERSION,
    "clusters": [{"name": SERVICE}],
    "listener_table": [
        {
            "host": "h",
            "rule_set": [
                {
                    "name": "r",
                    "kind": "non_idempotent",
                    "match_criteria": {"path_prefix": "/r/"},
                    "route_action": {"service": SERVICE, "request_timeout_s": 5, "max_attempts": 2},
                }
            ],
        }
    ],
}

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def settings_of(
    public: int, readiness: int, grace: float = 1.0, bounds: str = "", seed: str = "127.0.0.9:8200"
) -> settings.Settings:
    """The settings of a proxy on loopback; `bounds` are further lines of the settings file."""
    first_internal = free_ports(len(ROLES))
    return settings.build(
        settings.parse(
            f"node_name=f\nnode_role=r\nip_address=127.0.0.1\navailability_zone=za\nregion=ra\nzones.za=ra\n"
            f"internal_ports={first_internal},{first_internal + len(ROLES) - 1}\nseed_nodes={seed}\n"
            f"listen_addresses.public_http=127.0.0.1:{public}\n"
            f"listen_addresses.readiness=127.0.0.1:{readiness}\nrule_bounds.grace_period_s={grace}\n{bounds}"
        )
    )


@dataclass
class RunningProxy:
    """A proxy that listens, with its ports for clients and for readiness."""

    program: Program
    public: int
    readiness: int

    def list_backends(self, addresses: list[tuple[str, int]]) -> None:
        """Tell the proxy of ready backends `i-1`, `i-2` and so on at these addresses."""
        entries = [
            [f"i-{number}", f"{host}:{port}", SERVICE, "za", 2, "v1", "ready", 1, 0.0, 0.0, False]
            for number, (host, port) in enumerate(addresses, 1)
        ]
        self.program.handle_message(CORE, ["list", 1, 1, entries, True])

    def agree(self, configuration: dict, revision: int) -> None:
        """Lease a version to the proxy and send its content; `revision` grows with each call."""
        content_digest = f"digest-{revision}"
        request_number = self.program.session._next_request_number(time.monotonic())
        lease = ["lease", request_number, revision, configuration["version"], content_digest, [], 1]
        self.program.handle_message(CORE, lease)
        content = zlib.compress(json.dumps(configuration).encode())
        self.program.handle_message(CORE, ["content", content_digest, content])

    def expire_lease(self) -> None:
        """Expire the lease before any timer of the proxy runs."""
        self.program.session.lease_expires_at = time.monotonic()


async def start_proxy(
    *handlers: Handler, grace: float = 1.0, bounds: str = "", configuration: dict = CONFIGURATION
) -> RunningProxy:
    """Start a proxy with a lease on a configuration, and one backend on loopback for each handler."""
    public, readiness = free_port(), free_port()
    program = Program(asyncio.get_running_loop(), settings_of(public, readiness, grace, bounds))
    await program.start()
    proxy = RunningProxy(program, public, readiness)
    servers = [await asyncio.start_server(handler, "127.0.0.1", 0) for handler in handlers]
    proxy.list_backends([server.sockets[0].getsockname()[:2] for server in servers])
    proxy.agree(configuration, 1)
    return proxy
