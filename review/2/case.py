"""A backend runs a write before it has read its long body, and its answer is lost: the client must not get a 503."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness"))
from larch import (
    BOUNDS,
    ZONES,
    Backend,
    CannotRun,
    Deployment,
    Record,
    configuration,
    main,
    new_attempt,
    read_head,
    rule,
    send,
)

HOST, KEY, SERVICE = "booking.example", "9anu6wsjnbanfqasnmgk", "feedesk"
PROMISES = (408, 421, 429, 503)     # "the request has not run and never will"
LONG_BODY, UPLOAD_S, WORK_S = 1_000_000, 1.2, 0.3   # bytes, and the time in which the client sends them
LOST_SHARE, TROUBLE_S = 0.05, 4.0   # the site's dose of `answer_lost` with `how = "reset"`


class EarlyBackend(Backend):
    """Works on a request as soon as it has its head, answers it then, and reads on: as the pages allow."""

    trouble_from = trouble_until = -1.0     # while its answers may be lost
    ran_in_trouble = lost = 0

    async def handle(self, line: str, fields: dict[str, str], reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> bool:
        attempt, left = fields.get("x-attempt-id", ""), int(fields.get("content-length", 0))
        if line.split()[1] == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if fields.get("x-expected-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return False
        self.run(line, attempt, fields, b"")
        await asyncio.sleep(WORK_S if left > 100_000 else 0.01)
        if self.trouble_from <= time.monotonic() < self.trouble_until:
            self.ran_in_trouble += 1
            if left > 100_000 and self.lost + 1 <= LOST_SHARE * self.ran_in_trouble:
                self.lost += 1
                self.record.add(f"{self.id} has run {attempt}; its answer is lost, the connection is reset")
                writer.transport.abort()
                return False
        self.answer(writer, attempt, b"charged")
        while left > 0:
            left -= len(piece := await reader.read(min(left, 65536)))
            if not piece:
                return False
        return True


async def upload(record: Record, address: tuple[str, int], attempt: str) -> int:
    """A fee payment with a long body, sent at the rate of the client's link; the status of its answer."""
    record.add(f"client sends {attempt} to {address[0]}: POST /pay/, {LONG_BODY} bytes within {UPLOAD_S} s")
    reader, writer = await asyncio.open_connection(*address)

    async def send_body() -> None:
        for _ in range(20):
            writer.write(b"x" * (LONG_BODY // 20))
            await writer.drain()
            await asyncio.sleep(UPLOAD_S / 20)

    try:
        async with asyncio.timeout(6.0):
            writer.write((f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                          f"X-Deadline-Remaining: 4000\r\nAuthorization: Token {KEY}\r\n"
                          f"Content-Length: {LONG_BODY}\r\n\r\n").encode())
            body = asyncio.create_task(send_body())
            line, fields = await read_head(reader)
            status = int(line.split()[1])
            record.add(f"client gets for {attempt}: {status}, seal {fields.get('x-server-seal', '-')}, "
                       f"retry-after {fields.get('retry-after', '-')}")
            await asyncio.gather(body, return_exceptions=True)
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.add(f"client gets for {attempt}: {error!r}")
        return 0
    finally:
        writer.close()


async def play(record: Record, with_trouble: bool) -> list[str]:
    deployment = Deployment(record)
    backends = [EarlyBackend(deployment, SERVICE, f"i-{SERVICE}-{zone}", zone) for zone in ZONES]
    rules = [rule("pay", "non_idempotent", "/pay/", SERVICE)]
    statuses: dict[str, int] = {}
    try:
        for backend in backends:
            await backend.start()
        await deployment.start_all(configuration(1, 0, rules, [SERVICE], [
            {"name": "agency", "api_keys": [KEY], "route_priority": 1, "rate_per_s": 0, "burst_size": 0,
             "home_regions": []}]))
        await asyncio.sleep(BOUNDS["contact_s"] + 4)    # all are in touch, and no backend is cold

        async def small_payments(proxy: str) -> None:
            while True:
                attempt = new_attempt()
                statuses[attempt], _, _ = await send(record, deployment.address(proxy, "public_http"), "POST", HOST,
                                                     "/pay/1", KEY, b"x" * 1000, attempt=attempt)
                await asyncio.sleep(0.03)

        async def one_upload(number: int) -> None:
            attempt = new_attempt()
            proxy = deployment.proxies[number % len(deployment.proxies)]
            status = statuses[attempt] = await upload(record, deployment.address(proxy, "public_http"), attempt)
            if status in PROMISES:      # the client may try again: the payment can't have been made
                await asyncio.sleep(0.5)
                again = new_attempt()
                record.add(f"the client tries again, after the promise on {attempt}, as {again}")
                statuses[again] = await upload(record, deployment.address(proxy, "public_http"), again)

        tasks = [asyncio.create_task(small_payments(proxy)) for proxy in deployment.proxies]
        await asyncio.sleep(2.0)
        troubled = backends[0]      # one of three: less than half of the service
        if with_trouble:
            troubled.trouble_from = time.monotonic()
            troubled.trouble_until = troubled.trouble_from + TROUBLE_S
            record.add(f"answer_lost at {troubled.id} for {TROUBLE_S:g} s, {LOST_SHARE:g} of its requests")
        uploads = []
        for number in range(20):
            uploads.append(asyncio.create_task(one_upload(number)))
            await asyncio.sleep(TROUBLE_S / 20)
        await asyncio.gather(*uploads)
        if with_trouble:
            record.add(f"{troubled.id} ran {troubled.ran_in_trouble} in that time and lost the answers of "
                       f"{troubled.lost}")
            if not troubled.lost:
                raise CannotRun("no answer was lost")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ran = {attempt: backend.id for backend in backends for _, attempt, _ in backend.runs}
        served = sum(status == 200 for status in statuses.values())
        record.add(f"{len(statuses)} requests, {served} answered with 200")
        if served < 0.9 * len(statuses):
            raise CannotRun("fewer than 0.9 of the requests are served")
        return [f"REFUSED: {attempt}, which can't be repeated, got {status}, yet {ran[attempt]} had run it"
                for attempt, status in statuses.items() if status in PROMISES and attempt in ran]
    finally:
        for backend in backends:
            backend.stop()
        deployment.close()


main(str(Path(__file__).parent), play)
