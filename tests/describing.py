"""Small descriptions for the tests: text in, files out."""

from __future__ import annotations

import textwrap
from pathlib import Path

from fennelpoint.routes.description import Loaded, Site, load
from fennelpoint.settings import from_json
from fennelpoint.testing import SETTINGS

# look is safe, book unsafe, hold keyed with a window, lost keyed without one; 3 units at most.
GRADES = [*SETTINGS["grades"],
          {"name": "hold", "aim_s": 1.0, "give_up_s": 4.0, "worth": 2.0, "repeat": "token", "window_s": 3.0},
          {"name": "lost", "aim_s": 1.0, "give_up_s": 4.0, "worth": 2.0, "repeat": "token"}]
PLANS = [*SETTINGS["contracts"], {"name": "volume", "pays": 2.0, "quota_rate": 200.0, "store_size": 400.0}]
SITE = Site.of(from_json({**SETTINGS, "grades": GRADES, "contracts": PLANS}))
HEAD = 'openapi: 3.1.0\ninfo: {title: t, version: "1"}\n'
ANSWER = "responses: {default: {description: d}}"


def text(body: str, head: str = HEAD) -> str:
    """A description of a head of two lines and a body; !ANSWER stands for a `responses` object."""
    return head + textwrap.dedent(body).lstrip("\n").replace("!ANSWER", ANSWER)


def write(folder: Path, body: str, name: str = "d.yaml", head: str = HEAD) -> Path:
    path = folder / name
    path.write_text(text(body, head))
    return path


def loaded(folder: Path, body: str, site: Site | None = SITE, **named: str) -> Loaded:
    return load(write(folder, body, **named), site)


def rows(result: Loaded) -> list[tuple]:
    """The routes, shortly."""
    assert not result.faults, "\n".join(map(str, result.faults))
    return [(r.method, r.template.text, r.cls_name, r.units.amount) for r in result.routes]


def described_routes(*paths: str) -> str:
    """A description of look-ups at these paths."""
    each = "".join(f"  {path}: {{get: {{{ANSWER}}}}}\n" for path in paths)
    return f"{HEAD}x-larchwing: {{class: look}}\npaths:\n{each}"
