"""Stand-ins for what an ingress meets: booking servers, discovery, the counter, agencies.  See `servers`."""

from fennelpoint.standins.servers import Backend, Count, Fake, List, member, ok, read_message
from fennelpoint.standins.settings import SETTINGS
from fennelpoint.standins.traffic import ask, request
from fennelpoint.standins.world import World, run, until, world

__all__ = ["SETTINGS", "Backend", "Count", "Fake", "List", "World", "ask", "member", "ok", "read_message",
           "request", "run", "until", "world"]
