"""Stand-ins for what an ingress meets: booking servers, discovery, the counter, agencies.  See `servers`."""

from fennelpoint.testing.ingress_harness import World, run, until, world
from fennelpoint.testing.servers import Backend, Count, Fake, List, member, ok, read_message
from fennelpoint.testing.settings import SETTINGS
from fennelpoint.testing.traffic import ask, request

__all__ = ["SETTINGS", "Backend", "Count", "Fake", "List", "World", "ask", "member", "ok", "read_message",
           "request", "run", "until", "world"]
