"""Routes, classes and unit costs from an OpenAPI description; `docs/routes.md` tells how to use them.

What the ingress imports (`table`, `paths`, `changes`) needs the standard library only.  Reading a description
(`description`, `source`) needs the extra `routes` and is done by a process of its own (`worker`).
"""

from fennelpoint.routes.table import Route, RouteTable, Units
from fennelpoint.validation_errors import Fault, FaultyFile

__all__ = ["Fault", "FaultyFile", "Route", "RouteTable", "Units"]
