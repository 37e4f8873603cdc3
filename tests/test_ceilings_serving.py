"""The rule on ceilings over sockets: three ingresses, one crowded counter, an exact store at the backends."""

import asyncio
import time

from fennelpoint.shared_counter import name_of
from fennelpoint.testing import Backend, Count, ask, ok, request, run, world
from fennelpoint.testing.ceilings import Exact

DEAR = {"name": "dear", "pays": 1.8, "quota_rate": 4.0, "store_size": 8.0, "overrun_cost": 0.8,
        "ceiling_rate": 8.0, "cap_depth": 20.0, "cap_slack": 3.0}
WIDTH, UNITS, SECONDS = 3, 2, 4.0


class Crowded(Count):
    """For a second it turns away whatever puts a store right, and is late with each fourth answer."""

    began = 0.0

    async def _handle(self, reader, writer) -> None:
        while line := await reader.readline():
            _, name, amount, _ = line.split()
            self.began = self.began or time.monotonic()
            if time.monotonic() < self.began + 1.0:
                if float(amount) > 10.0:
                    writer.write(b"busy\r\n")
                    continue
                self.calls.append(name)
                await asyncio.sleep(0.07 * (len(self.calls) % 4 == 0))
            self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            writer.write(b"ok %f\r\n" % self.totals[name])


def test_three_ingresses_keep_one_customers_ceiling_while_the_counter_is_crowded():
    """The operators' case: a store new in the middle of its epoch, that nobody can put right at first."""
    async def play() -> None:
        now = time.time()
        key = next(k for k in range(1, 10_000) if 20.0 < now - name_of(k, now)[1] < 30.0)
        rule, came = Exact(DEAR["ceiling_rate"], DEAR["cap_depth"], DEAR["cap_slack"] + 8.0 * 0.15), []

        def answer(line, fields, body):
            came.append(time.monotonic())
            rule.take(came[-1], UNITS)
            return ok(b"yes")

        count, nodes = Crowded(), [Backend(answer) for _ in range(4)]
        site = {"balancers": 8, "contracts": [DEAR]}
        async with (world(*nodes, count=count, **site, me=0) as a,
                    world(*nodes, count=count, **site, me=1) as b,
                    world(*nodes, count=count, **site, me=2) as c):
            ends = asyncio.get_running_loop().time() + SECONDS

            async def flood(made) -> None:
                while asyncio.get_running_loop().time() < ends:
                    await ask(made, request("look", Api_Plan="dear", Cookie=f"account={key:016x}",
                                            Api_Terms=f"units={UNITS},spread={WIDTH},first=0"))
                    await asyncio.sleep(0.04)

            await asyncio.gather(*(flood(made) for made in (a, b, c) for _ in range(2)))
        assert rule.lowest >= -rule.slack, f"{-rule.lowest - rule.slack:.1f} units beyond the rule"
        assert len(came) >= 3   # in the second of trouble by own parts, then as the store fills

    run(play())
