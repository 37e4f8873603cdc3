"""Draws days of the bench for one point of the control side, as TOML that `fleetbench run SITE FILE` plays.

Usage:
  system_days.py POINT NUMBER [--length=S]
  system_days.py --all=N --into=DIR
  system_days.py --site=FILE --length=S --traffic=PART
  system_days.py --help

Arguments:
  POINT   cut_off, orders, members, storm, answers, mixed, retries, grey, leaving, rolls or split.
  NUMBER  Number of the day, from 1. It picks the variant (in a cycle, so that as many days as there are variants hold
          each of them) and is the seed of all else: the same point and number always give the same day.

Options:
  --length=S   Seconds of traffic; left out, the site's own (a storm's long days bring theirs).
  --all=N      Days 1 to N of each point.
  --into=DIR   Folder for the files, named POINT-NUMBER.toml.
  --site=FILE  Prints a copy of a site file with another length and part of its traffic, for long days that can be
               played in minutes.  Its wire.json has to stand beside the copy.
  --traffic=PART  Of the site's requests a second.

Without --into the day goes to standard output. Zones and machines are left out of the entries, so that the bench
picks them by the day's seed and a file can be played on any deployment whose contracts know its kinds.
"""

from __future__ import annotations

import random
import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from docopt import docopt

Entry = dict[str, Any]
Day = dict[str, Any]

CUTS = (
    "", "one_way", "seeds", "both", "leader meet", "leader race", "hard", "meet drain", "reset", "refuse",
    "leader reset race", "one_way meet drain", "seeds meet", "both race", "refuse hard drain", "one_way leader race",
)  # fmt: skip
SPLITS = ("split", "lure", "relieve", "near")
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
AIMS = ("", "timed", "taken", "aimed")
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")


def entry(kind: str, at: float, **fields: Any) -> Entry:
    """One entry of a day, `at` seconds after traffic starts; fields that are None are left out."""
    return {"at": round(at, 2), "kind": kind, **{name: value for name, value in fields.items() if value is not None}}


def closing(draw: random.Random, number: int) -> Entry:
    """The fault that ends a day: each kind with each aim, in a cycle by the day's number."""
    kind = CLOSINGS[number % len(CLOSINGS)]
    how = AIMS[number // len(CLOSINGS) % len(AIMS)]
    if how == "aimed" and kind != "wipe_after_ack":
        how = ""
    fault = {"kind": kind, "down_s": round(draw.uniform(0.6, 1.5), 2)}
    return fault | {"how": how} if how else fault


def changes(draw: random.Random, first: float, last: float, count: int) -> list[Entry]:
    """Single changes of the configuration, drawn between two moments."""
    return [entry("config_change", draw.uniform(first, last), how=draw.choice(CHANGES)) for _ in range(count)]


def cut_off(draw: random.Random, number: int) -> Day:
    """A core machine, or two, without the others for about 20 s, while orders and leaving backends come."""
    how = CUTS[(number - 1) % len(CUTS)]
    start = draw.uniform(2.0, 6.0)
    plan = [
        *changes(draw, start + 1, start + 18, 3),
        entry("evacuate", start + draw.uniform(2, 8), for_s=8.0, how=draw.choice(("", "warm"))),
        entry("revoke", start + draw.uniform(5, 15), count=2, gap_s=0.7),
        entry("scale_in", start + draw.uniform(3, 17), share=0.14, how=draw.choice(("", "spot"))),
    ]
    faults = [
        entry("core_cut", start, count=1 if number % 3 else 2, for_s=20.0, how=how),
        entry("srv_crash", start + draw.uniform(1, 10), share=0.14, for_s=4.5, how=draw.choice(("", "dark", "gone"))),
        entry("cold_return", start + draw.uniform(8, 18), for_s=4.0, how=draw.choice(("", "dark"))),
    ]
    return {"plan": plan, "faults": faults}


def orders(draw: random.Random, number: int) -> Day:
    """Pairs of orders on one version, storms, and the machine that acknowledges lost around its acknowledgement."""
    kills = ("", "kill", "timed", "taken", "kill race", "timed race", "meet", "taken meet drain")
    plan = [
        entry("config_race", 1.5, count=10, gap_s=draw.choice((0.3, 0.8, 1.5))),
        entry("config_storm", draw.uniform(6, 12), count=draw.choice((20, 40)), gap_s=draw.choice((0.1, 0.3))),
        entry("evacuate", draw.uniform(3, 10), for_s=6.0, how="warm"),
        entry("config_race", draw.uniform(16, 20), count=6, gap_s=0.5),
        *changes(draw, 5, 25, 4),
    ]
    faults = [
        entry("answer_lost", draw.uniform(2, 6), share=0.5, x=0.05, for_s=10.0, how=draw.choice(("", "reset"))),
        entry("after_ack_kill", 8.0, for_s=2.5, how=kills[(number - 1) % len(kills)]),
        entry("after_ack_kill", 17.0, for_s=2.5, how=kills[number % len(kills)]),
    ]
    return {"plan": plan, "faults": faults, "closing": closing(draw, number)}


def members(draw: random.Random, number: int) -> Day:
    """Loss after loss on the core, the next as soon as the last one counts as repaired."""
    wipes = ("", "kill", "timed", "taken", "race", "meet drain")
    roll = ("remove", "busy", "remove busy", "")[(number - 1) % 4]
    removal = "remove" in roll
    at, faults = (13.0 if removal else 3.0), []
    for step in range(2 if removal else 3):
        down = round(draw.uniform(1.0, 2.5), 2)
        faults.append(entry("after_ack_wipe", at, for_s=down, how=wipes[(number + step - 1) % len(wipes)]))
        at += down + draw.uniform(4.1, 5.0)
    second = draw.choice(("node_kill", "zone_loss"))
    faults.append(
        entry("node_kill", at, on="core", count=1, for_s=2.0, how=draw.choice(("power", "leader", "leader race")))
        if second == "node_kill"
        else entry("zone_loss", at, for_s=4.0, how=draw.choice(("", "meet drain", "race drain")))
    )
    plan = [
        entry("seed_turnover", draw.uniform(1, 8)),
        entry("roll_term", 2.0 if removal else draw.choice((9.0, 20.0)), on="core",
              share=0.4 if removal else 1.0, x=1, gap_s=draw.choice((1.0, 4.5)), how=roll),
        *changes(draw, 2, 26, 5),
    ]  # fmt: skip
    return {"plan": plan, "faults": faults, "closing": closing(draw, number)}


def storm(draw: random.Random, number: int) -> Day:
    """Hundreds of changes, with members rolled, wiped and cut off inside; each third day is a long one."""
    long = number % 3 == 0
    end = 48.0 if long else 26.0
    plan = [
        entry("config_storm", 1.5, for_s=end, gap_s=draw.choice((0.1, 0.15, 0.25))),
        entry("big_config", draw.uniform(3, 8), count=draw.choice((200, 350))),
        entry("config_race", draw.uniform(5, 15), count=8, gap_s=0.9),
        entry("roll_term", draw.uniform(6, 10), on="core", share=1.0, x=1, gap_s=draw.choice((1.0, 4.5)),
              how=draw.choice(("", "busy", "remove"))),
    ]  # fmt: skip
    faults = [
        entry("after_ack_wipe", draw.uniform(3, 6), for_s=3.0, how=draw.choice(("", "timed"))),
        entry("after_ack_wipe", draw.uniform(18, 22), for_s=draw.choice((1.0, 4.0)), how=draw.choice(("", "race"))),
        entry("core_cut", draw.uniform(11, 14), count=1, for_s=5.0, how=draw.choice(CUTS)),
    ]
    if long:
        plan.append(entry("roll_term", 30.0, share=0.5, x=2, gap_s=1.0, how="remove"))
        faults.append(entry("core_cut", 26.0, count=1, for_s=15.0, how=draw.choice(CUTS)))
        faults.append(entry("after_ack_wipe", 45.5, for_s=2.0))
    day: Day = {"plan": plan, "faults": faults, "closing": closing(draw, number)}
    return day | {"length_s": end + 10.0} if long else day


def answers(draw: random.Random, number: int) -> Day:
    """Answers that are lost, spoilt, doubled or cut off, while processes on both sides go and come back."""
    herds = (
        {"on": "core", "how": ""}, {"share": 0.6, "how": "power"}, {"on": "core", "how": "taken"},
        {"share": 0.6, "how": ""}, {"on": "core", "how": "power"}, {"on": "core", "how": "race drain"},
    )  # fmt: skip
    plan = [
        entry("roll_term", draw.uniform(2, 5), share=0.5, x=1, gap_s=1.0, how="busy"),
        *changes(draw, 3, 25, 3),
        entry("release", draw.uniform(5, 15), share=0.4, x=1, gap_s=1.0),
    ]
    faults = [
        entry("answer_lost", draw.uniform(2, 5), share=0.8, x=0.06, for_s=15.0, how=draw.choice(("", "reset"))),
        entry("garble", draw.uniform(4, 8), share=0.6, x=0.04, for_s=15.0, how=draw.choice(("extra", "extra late"))),
        entry("herd_kill", draw.uniform(9, 12), for_s=1.5, **herds[(number - 1) % len(herds)]),
        entry("node_cut", draw.uniform(13, 17), share=0.3, for_s=5.0, how=draw.choice(("reset", "", "servers"))),
        entry("srv_crash", draw.uniform(6, 20), share=0.2, for_s=4.0, how="dark"),
        entry("after_ack_kill", draw.uniform(19, 22), for_s=2.0, how=draw.choice(("", "kill", "taken"))),
    ]
    return {"plan": plan, "faults": faults, "closing": closing(draw, number)}


def long_day(draw: random.Random, faults: list[Entry]) -> Day:
    """90 s with some hundred changes and proxies that come and go, before what fails at 70 s."""
    plan = [
        entry("config_storm", 5.0, count=draw.choice((100, 200)), gap_s=0.3),
        entry("roll_term", draw.uniform(20, 40), share=0.3, x=1, gap_s=1.0, how=draw.choice(("", "busy"))),
    ]
    return {"plan": plan, "faults": faults, "length_s": 90.0}


def retries(draw: random.Random, number: int) -> Day:
    """A long day on which answers are lost, so that what may be repeated is."""
    return long_day(draw, [
        entry("node_freeze", draw.uniform(40, 60), share=0.2, for_s=draw.choice((2.0, 6.0))),
        entry("answer_lost", 70.0, share=0.9, x=draw.choice((0.3, 0.6, 1.0)), for_s=12.0, how="reset"),
        entry("node_kill", 73.0, share=0.3, for_s=2.0),
    ])  # fmt: skip


def grey(draw: random.Random, number: int) -> Day:
    """A long day on which a service fails requests with its health good, and then flaps."""
    hows = ("shed", "errors", "reset")
    return long_day(draw, [
        entry("node_freeze", draw.uniform(40, 60), share=0.2, for_s=draw.choice((2.0, 6.0))),
        entry("srv_grey", 70.0, share=draw.choice((0.5, 0.8, 1.0)), x=draw.choice((0.5, 1.0)), for_s=12.0,
              how=hows[(number - 1) % len(hows)]),
        entry("srv_flap", 74.0, share=0.4, gap_s=1.5, for_s=8.0),
    ])  # fmt: skip


def leaving(draw: random.Random, number: int) -> Day:
    """Clients that leave at any hour, beside slow backends and troubles of proxies, core machines and links."""
    plan = [
        entry("config_storm", 4.0, count=draw.choice((60, 120)), gap_s=0.4),
        entry("roll_term", draw.uniform(20, 35), share=0.3, x=1, gap_s=1.0, how=draw.choice(("", "busy"))),
    ]
    slow = draw.choice((2, 4, 8))
    faults = [
        entry("give_up", draw.uniform(3, 8), share=draw.choice((0.4, 0.7, 1.0)), x=draw.choice((80, 200, 500)),
              for_s=45.0),
        entry("srv_slow", draw.uniform(5, 10), share=draw.choice((0.3, 0.6, 1.0)), x=slow, for_s=20.0),
        entry("answer_lost", draw.uniform(12, 25), share=0.6, x=0.1, for_s=10.0, how=draw.choice(("", "reset"))),
        entry("node_freeze", draw.uniform(15, 40), share=0.2, for_s=2.0),
        entry("node_cut", draw.uniform(15, 40), share=0.2, for_s=5.0, how=draw.choice(("", "all", "servers"))),
        entry("herd_kill", draw.uniform(40, 45), share=0.4, for_s=1.5),
    ]  # fmt: skip
    return {"plan": plan, "faults": faults, "length_s": 60.0}


def rolls(draw: random.Random, number: int) -> Day:
    """A long day of hundreds of changes on which proxies and core machines are restarted by plan again and again."""
    plan = [
        entry("config_storm", 3.0, count=draw.choice((200, 300)), gap_s=0.28),
        *(entry("roll_term", 8.0 + 13.0 * turn, on="front", share=1.0, x=draw.choice((1, 2, 3)), gap_s=1.0)
          for turn in range(6)),
        entry("roll_term", draw.uniform(30, 60), on="core", share=1.0, x=1, gap_s=draw.choice((1.0, 4.5))),
        entry("seed_turnover", draw.uniform(20, 70)),
    ]  # fmt: skip
    return {"plan": plan, "faults": [], "length_s": 90.0}


def split(draw: random.Random, number: int) -> Day:
    """Several core machines cut off from the others, twice, for longer than a lease, under a change each 0.4 s."""
    plan = [
        entry("config_storm", 1.0, for_s=32.0, gap_s=0.4),
        entry("scale_in", draw.uniform(6, 20), share=0.14, how=draw.choice(("", "spot"))),
    ]
    faults = [
        entry("core_cut", start + draw.uniform(0, 2), count=draw.choice((3, 4, 5)),
              for_s=round(draw.uniform(7.0, 9.0), 1), how=SPLITS[(number + turn) % len(SPLITS)])
        for turn, start in enumerate((4.5, 18.0))
    ]  # fmt: skip
    return {"plan": plan, "faults": faults}


def mixed(draw: random.Random, number: int) -> Day:
    """Half of the entries of three other points' days, one on top of the other."""
    parts = [POINTS[name](draw, draw.randint(1, 50)) for name in draw.sample(MIXED, 3)]
    plan = [one for part in parts for one in draw.sample(part["plan"], (len(part["plan"]) + 1) // 2)]
    faults = [one for part in parts for one in draw.sample(part["faults"], (len(part["faults"]) + 1) // 2)]
    last = 28.0
    return {
        "plan": [one for one in plan if one["at"] < last],
        "faults": [one for one in faults if one["at"] < last],
        "closing": closing(draw, number),
    }


POINTS: dict[str, Callable[[random.Random, int], Day]] = {
    "cut_off": cut_off,
    "orders": orders,
    "members": members,
    "storm": storm,
    "answers": answers,
    "mixed": mixed,
    "retries": retries,
    "grey": grey,
    "leaving": leaving,
    "rolls": rolls,
    "split": split,
}
MIXED = ("answers", "cut_off", "members", "orders", "storm")    # what mixed days are drawn from


def site_copy(text: str, length: float, traffic: float) -> str:
    """A site file's text with another length (s), and so much of its requests a second."""
    text = re.sub(r"(?m)^length_s = .*$", f"length_s = {length}", text)
    return re.sub(r"per_s = ([0-9.]+), clients",
                  lambda found: f"per_s = {float(found[1]) * traffic:.1f}, clients", text)


def toml(value: Any) -> str:
    """A value of a day as TOML; tables stand in a line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {toml(inner)}" for name, inner in value.items()) + " }"
    return f'"{value}"' if isinstance(value, str) else str(value)


def written(point: str, number: int, length: float | None = None) -> str:
    """The file of one day; raises KeyError for a point that isn't known."""
    draw = random.Random(f"{point} {number}")
    day = POINTS[point](draw, number)
    lines = [f'name = "{point}-{number}"', 'slot = "trouble"', f"seed = {draw.randrange(1, 10**8)}"]
    if (length := length or day.get("length_s")) is not None:
        lines.append(f"length_s = {length}")
    if "closing" in day:
        lines.append(f"closing = {toml(day['closing'])}")
    for part in ("plan", "faults"):
        rows = sorted(day[part], key=lambda one: float(one["at"]))
        lines += [f"{part} = [", *(f"  {toml(row)}," for row in rows), "]"]
    return "\n".join(lines) + "\n"


def main(argv: list[str]) -> int:
    """Command line; returns the exit status: 0, or 2 for a point or number that can't be."""
    asked = docopt(__doc__, argv)
    try:
        if asked["--site"] is not None:
            text = Path(asked["--site"]).read_text()
            sys.stdout.write(site_copy(text, float(asked["--length"]), float(asked["--traffic"])))
            return 0
        if asked["--all"] is not None:
            folder = Path(asked["--into"])
            for point in POINTS:
                for number in range(1, int(asked["--all"]) + 1):
                    (folder / f"{point}-{number}.toml").write_text(written(point, number))
            return 0
        length = asked["--length"] and float(asked["--length"])
        sys.stdout.write(written(asked["POINT"], int(asked["NUMBER"]), length))
    except (KeyError, ValueError) as wrong:
        print(f"no such day: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
