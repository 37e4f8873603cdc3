"""Quotas over gRPC: the Rate Limit Quota Service and the Rate Limit Service, thin over `leases.Bank`.

RLQS (envoyproxy.io, "rate limit quota service"): usage reports in, assignments out, one stream a proxy.  RLS
("rate limit service"): one `ShouldRateLimit` is one decision of the module for each of its descriptors.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from itertools import count

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from envoy.type.v3 import ratelimit_strategy_pb2

from fennelpoint import interface as api
from fennelpoint.net.controller_runtime import Clock, Driver
from fennelpoint.net.counter import Counter
from fennelpoint.operator_config import Control
from fennelpoint.rate_limited_log import log, warn_limited
from fennelpoint.xds.leases import Abandon, Assign, Bank, Bucket
from fennelpoint.xds.protobuf import seconds
from fennelpoint.xds.quota_checker import Verdict
from fennelpoint.xds.streams import Misuse
from fennelpoint.xds.token_bucket import Budget

SWEEP = 1.0             # s between looks at what is over
DELIVERY = 0.25         # s until an assignment is with its proxy; a stream that takes longer ends
MOST_DESCRIPTORS = 8    # of one call
MOST_WAITING = 10_000   # calls that wait for a verdict; further ones are refused at once
MOST_WAIT = 1.0         # s that a call may wait for its verdict, whatever its deadline
FINEST = 20.0           # fills a second of a token bucket at most
NEVER = 86_400.0        # s until a bucket's next token, where it has no rate


def strategy(tokens: int | None, rate: float) -> ratelimit_strategy_pb2.RateLimitStrategy:
    """A token bucket that gives so many requests at once and no more than `rate` a second after."""
    made = ratelimit_strategy_pb2.RateLimitStrategy()
    if tokens is None:
        made.blanket_rule = ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL
        return made
    fill = max(1, int(rate / FINEST))
    bucket = made.token_bucket
    bucket.max_tokens, bucket.tokens_per_fill.value = tokens, fill
    bucket.fill_interval.CopyFrom(seconds(min(NEVER, fill / rate + 1e-6) if rate > 0.0 else NEVER))
    return made


def bucket_of(message: rlqs_pb2.BucketId) -> Bucket:
    return tuple(sorted(message.bucket.items()))


class Quotas:
    """The bank with its clock, timers and counter, and the streams that assignments go to."""

    def __init__(self, control: Control, settings: api.Settings, seed: int,
                 counter: tuple[str, int] | None) -> None:
        self.control, self.clock = control, Clock()
        self.loop = asyncio.get_running_loop()
        self.counter = Counter(self.loop, *counter, settings.counter_timeout) if (
            counter is not None and settings.has_counter) else None
        self.driver = Driver(self.loop, self.clock, self.counter, self._give)
        self.bank = Bank(settings, seed, self.clock(), control.report_interval_s, DELIVERY,
                         control.quotas == "leases")
        self.outboxes: dict[int, asyncio.Queue] = {}
        self.waiting: dict[int, asyncio.Future[Verdict]] = {}   # by ask
        self.numbers = count(1)
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)

    def close(self) -> None:
        self.sweeper.cancel()
        if self.counter is not None:
            self.counter.close()

    def _sweep(self) -> None:
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)
        self.bank.sweep(self.clock())
        if self.counter is not None:
            self.counter.sweep()

    # What the bank wants done

    def carry_out(self, acts: Iterable[object]) -> None:
        for act in acts:
            if isinstance(act, Verdict):
                if (done := self.waiting.pop(act.ask, None)) is not None and not done.done():
                    done.set_result(act)
            elif isinstance(act, Assign | Abandon):
                if (outbox := self.outboxes.get(act.stream)) is not None:
                    outbox.put_nowait(act)
            elif isinstance(act, api.SetTimer):
                self.driver.set_timer(act)
            elif isinstance(act, api.Count):
                self.driver.count(act)

    def _give(self, event: api.Event) -> None:
        self.run(self.bank.handle, event)

    def run(self, call: Callable[..., list], *args: object) -> None:
        """Carry out what the bank answers; a defect costs what it was about, and is logged."""
        try:
            acts = call(*args, self.clock())
        except Misuse:
            raise
        except Exception:
            return log.exception("the decision module failed on %r", args)
        self.carry_out(acts)

    # Decisions of single calls

    async def decide(self, spec, time_left: float) -> Verdict:
        """The module's verdict on one request; a refusal where none comes in time."""
        if len(self.waiting) >= MOST_WAITING:
            return Verdict(0, False)
        try:
            number, acts = self.bank.ask(spec, time_left, self.clock())
        except Exception:
            log.exception("the decision module failed on %r", spec)
            return Verdict(0, False)
        done = self.waiting[number] = self.loop.create_future()
        self.carry_out(acts)
        try:
            return await asyncio.wait_for(done, time_left)
        except TimeoutError:
            return Verdict(number, False)
        finally:
            if self.waiting.pop(number, None) is not None:  # no verdict came: nobody is there for it any more
                self._give(api.ClientGone(number))


class QuotaService(rlqs_pb2_grpc.RateLimitQuotaServiceServicer):
    """RLQS: a stream's reports go to the bank; its assignments are written as they come."""

    def __init__(self, quotas: Quotas, most_streams: int) -> None:
        self.quotas, self.most_streams = quotas, most_streams

    async def StreamRateLimitQuotas(self, request_iterator, context):  # noqa: N802, the service's own name
        quotas = self.quotas
        if len(quotas.outboxes) >= self.most_streams:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        stream, outbox, budget = next(quotas.numbers), asyncio.Queue(), Budget()
        quotas.outboxes[stream] = outbox
        reader = asyncio.create_task(self._read(stream, request_iterator, outbox, budget))
        try:
            while (act := await outbox.get()) is not None:
                response = rlqs_pb2.RateLimitQuotaResponse()
                add_action(response, act)
                while not outbox.empty() and (act := outbox.get_nowait()) is not None:
                    add_action(response, act)
                # Guards the bound: what is not written by then would begin its life too late.
                await asyncio.wait_for(context.write(response), DELIVERY)
                if act is None:
                    break
            if isinstance(error := reader.exception(), Misuse):
                warn_limited("xds", "a quota stream ends: %s", error)
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except TimeoutError:
            warn_limited("xds", "a quota stream that does not read ends")
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "the stream is not read")
        finally:
            reader.cancel()
            del quotas.outboxes[stream]
            quotas.bank.gone(stream, quotas.clock())

    async def _read(self, stream: int, requests, outbox: asyncio.Queue, budget: Budget) -> None:
        quotas, domain = self.quotas, ""
        try:
            async for request in requests:
                budget.spend()
                domain = domain or request.domain
                if domain != quotas.control.quota_domain:
                    raise Misuse(f"domain: {domain[:100]!r} is not {quotas.control.quota_domain!r}")
                for usage in request.bucket_quota_usages:
                    span = usage.time_elapsed.seconds + usage.time_elapsed.nanos * 1e-9
                    quotas.run(quotas.bank.report, stream, bucket_of(usage.bucket_id),
                               usage.num_requests_allowed, usage.num_requests_denied, span)
        finally:
            outbox.put_nowait(None)


def add_action(response: rlqs_pb2.RateLimitQuotaResponse, act: Assign | Abandon) -> None:
    """One BucketAction."""
    action = response.bucket_action.add()
    action.bucket_id.bucket.update(dict(act.bucket))
    if isinstance(act, Abandon):
        return action.abandon_action.SetInParent()
    assignment = action.quota_assignment_action
    assignment.assignment_time_to_live.CopyFrom(seconds(act.life))
    assignment.rate_limit_strategy.CopyFrom(strategy(act.tokens, act.rate))


class LimitService(rls_pb2_grpc.RateLimitServiceServicer):
    """RLS: may this request go on?"""

    def __init__(self, quotas: Quotas) -> None:
        self.quotas = quotas

    async def ShouldRateLimit(self, request, context):  # noqa: N802, the service's own name
        quotas, left = self.quotas, context.time_remaining()
        try:
            specs = self._specs(request)
        except Misuse as error:
            return await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        time_left = MOST_WAIT if left is None else max(0.001, min(MOST_WAIT, left))
        verdicts = await asyncio.gather(*(quotas.decide(spec, time_left) for spec in specs))
        response = rls_pb2.RateLimitResponse(overall_code=rls_pb2.RateLimitResponse.OK)
        for verdict in verdicts:
            status = response.statuses.add(code=rls_pb2.RateLimitResponse.OK)
            if not verdict.granted:
                response.overall_code = status.code = rls_pb2.RateLimitResponse.OVER_LIMIT
                status.duration_until_reset.CopyFrom(seconds(verdict.retry_after))
        advice = max((v.retry_after for v in verdicts if not v.granted), default=0.0)
        if advice > 0.0:
            response.response_headers_to_add.append(
                base_pb2.HeaderValue(key="retry-after", value=f"{advice:.3f}"))
        return response

    def _specs(self, request) -> list:
        """What each descriptor asks for; raises Misuse.  `hits_addend` are units, 1 where none is said."""
        if request.domain != self.quotas.control.quota_domain:
            raise Misuse(f"domain: {request.domain[:100]!r} is not {self.quotas.control.quota_domain!r}")
        if not 0 < len(request.descriptors) <= MOST_DESCRIPTORS:
            raise Misuse(f"descriptors: {len(request.descriptors)} is not between 1 and {MOST_DESCRIPTORS}")
        specs = []
        for descriptor in request.descriptors:
            entries = {entry.key: entry.value for entry in descriptor.entries}
            hits = descriptor.hits_addend.value if descriptor.HasField("hits_addend") else request.hits_addend
            if hits:
                entries["units"] = str(hits)
            specs.append(self.quotas.bank.reader.read(entries))
        return specs
