"""Processes a request in the entry, from admission to its outcome.

The steps are admission, reservation (non-idempotent services), choice of the
upstream, dispatch, retries and outcome. A request is retried only if the
previous attempt was refused before it started, or if the service is
idempotent. Each retry goes to another upstream and takes a token from the retry
budget, except after a refusal by a draining or unreachable upstream. Once an
attempt may have run, the outcome is never `not_run`.
"""

import asyncio
from typing import Final
from typing import Protocol

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.policies import concurrency
from bamboorouter.coordination.policies import routing
from bamboorouter.coordination.requests import admission_queue
from bamboorouter.coordination.requests import agent_links
from bamboorouter.coordination.requests import caller_requests
from bamboorouter.coordination.requests import reservations
from bamboorouter.coordination.requests import retry_budget
from bamboorouter.coordination.requests import route_table
from bamboorouter.protocol import messages

RESERVATION_POLL_MS: Final = 100
# Lowest HTTP status that counts as a failure of the upstream.
MIN_SERVER_ERROR_STATUS: Final = 500
# Missing a deadline shorter than this doesn't count as a failure of the
# upstream.
SHORT_DEADLINE_MS: Final = 500
# Route age that is sent before the first contact with a leader.
NO_CONTACT_AGE_MS: Final = 1 << 31

MAX_ATTEMPTS: Final = 4

# Refusals after which a retry needs no token of the retry budget.
_BUDGET_FREE_REFUSALS: Final = (error_texts.DRAINING, error_texts.NO_UPSTREAM)
# Refusals that are not retried.
_FINAL_REFUSALS: Final = (error_texts.DEADLINE,)


class LeaderContact(Protocol):
    """Interface for the age of the routes; `ControlClient` implements it."""

    def contact_age_ms(self) -> int | None:
        """Returns the time since the last contact with a leader, in ms."""
        ...


class RequestDispatcher:
    """Dispatches callers' requests to upstreams.

    Attributes:
        table: Routes and services.
        links: Links to agents.
        admission: Bounded queues in front of the upstreams.
        reservations: Reservations of non-idempotent requests.
        budget: Limits the ratio of retries to requests.
        routing_policy: Chooses the upstream for each attempt.
        concurrency_policy: Learns from observed latencies how many requests of
            a service may be in progress.
        leader_contact: Provides the age of the routes.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        table: route_table.RouteTable,
        links: agent_links.AgentLinks,
        admission: admission_queue.AdmissionQueue,
        reservations: reservations.Reservations,
        budget: retry_budget.RetryBudget,
        routing_policy: routing.RoutingPolicy,
        concurrency_policy: concurrency.ConcurrencyPolicy,
        leader_contact: LeaderContact,
        time: clock.Clock,
    ) -> None:
        self.table = table
        self.links = links
        self.admission = admission
        self.reservations = reservations
        self.budget = budget
        self.routing_policy = routing_policy
        self.concurrency_policy = concurrency_policy
        self.leader_contact = leader_contact
        self.clock = time
        self._loop = asyncio.get_running_loop()

    async def run(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply:
        """Processes a request until its outcome is known.

        Args:
            request: The request.

        Returns:
            The reply to the caller.
        """
        if not self.table.upstream_loads(request.row.name):
            return _no_upstream(request)
        self.budget.add_request()
        while True:
            refused = await self.admission.enter(
                request.row, remaining_ms=self._remaining_ms(request)
            )
            if refused is not None:
                return caller_requests.error_reply(
                    "not_run",
                    refused.code,
                    retry_after_ms=refused.retry_after_ms,
                    urgency=request.row.urgency,
                )
            started = self._loop.time()
            try:
                if not request.key:
                    return await self._run_attempts(request)
                return await self._run_reserved(request)
            except reservations.InProgressError:
                pass
            finally:
                elapsed = self._loop.time() - started
                self.admission.leave(
                    request.row, elapsed_ms=elapsed * clock.MS_PER_SECOND
                )
            await asyncio.sleep(clock.seconds(RESERVATION_POLL_MS))
            if self._remaining_ms(request) <= 0:
                return caller_requests.error_reply(
                    "unknown", error_texts.OTHER_ATTEMPT
                )

    async def _run_reserved(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply:
        earlier_reply = await self.reservations.reserve(request)
        if earlier_reply is not None:
            return earlier_reply
        try:
            reply = await self._run_attempts(request)
        except Exception as err:  # pylint: disable=broad-except
            # Without an outcome, the key would be reserved until it expires.
            events.log(
                events.REQUEST_FAULT,
                request=request.request_id,
                error=repr(err),
            )
            reply = caller_requests.error_reply(
                "unknown", error_texts.NO_ANSWER, detail="internal error"
            )
        return await self.reservations.record(request, reply)

    async def _run_attempts(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply:
        tried: frozenset[str] = frozenset()
        may_have_run: messages.Answer | None = None
        refusal: messages.Answer | None = None
        while self._remaining_ms(request) > 0:
            load = self.routing_policy.choose(
                self.table.upstream_loads(request.row.name),
                tried=tried,
                now_ms=self.clock.now(),
            )
            if load is None or not self._may_attempt(
                tried, may_have_run, refusal
            ):
                break
            answer = await self._attempt(request, load)
            if answer.outcome == "completed":
                return _reply(answer)
            if answer.outcome == "not_run":
                refusal = answer
                if answer.code in _FINAL_REFUSALS:
                    break
            else:
                may_have_run = answer
                if not request.row.idempotent:
                    break
            tried |= {load.upstream}
        last = may_have_run or refusal
        if last is not None:
            return _reply(last)
        if self._remaining_ms(request) <= 0:
            return caller_requests.error_reply("not_run", error_texts.DEADLINE)
        return _no_upstream(request)

    def _may_attempt(
        self,
        tried: frozenset[str],
        may_have_run: messages.Answer | None,
        refusal: messages.Answer | None,
    ) -> bool:
        """Whether another attempt is allowed.

        Refusals of draining or unreachable upstreams cost no work and don't
        repeat, so a retry after them needs no budget. Other retries do, for
        example those after a refusal because of overload.
        """
        if not tried:
            return True
        if len(tried) >= MAX_ATTEMPTS:
            return False
        budget_free = (
            refusal is not None and refusal.code in _BUDGET_FREE_REFUSALS
        )
        return (budget_free and may_have_run is None) or self.budget.take()

    async def _attempt(
        self,
        request: caller_requests.CallerRequest,
        load: routing.UpstreamLoad,
    ) -> messages.Answer:
        """Dispatches to one upstream and records the result for policies."""
        load.outstanding += 1
        load.agent.outstanding += 1
        started = self._loop.time()
        had_long_deadline = self._remaining_ms(request) > SHORT_DEADLINE_MS
        try:
            answer = await self._exchange(request, load)
        finally:
            load.outstanding -= 1
            load.agent.outstanding -= 1
        elapsed = (self._loop.time() - started) * clock.MS_PER_SECOND
        if answer.outcome == "not_run":
            if answer.code == error_texts.DRAINING:
                load.refused_until_ms = (
                    self.clock.now() + route_table.LEAVING_HOLD_MS
                )
        elif self._remaining_ms(request) > 0 or had_long_deadline:
            # A missing answer is ignored if the deadline was short.
            self._record_result(request.row.name, load, answer, elapsed)
        return answer

    def _record_result(
        self,
        service: str,
        load: routing.UpstreamLoad,
        answer: messages.Answer,
        elapsed_ms: float,
    ) -> None:
        now = self.clock.now()
        # A request that failed quickly doesn't show the upstream's latency; one
        # that timed out does.
        if answer.outcome == "completed" or elapsed_ms > SHORT_DEADLINE_MS:
            self.concurrency_policy.observe(
                service,
                elapsed_ms=elapsed_ms,
                in_progress=self.admission.in_progress(service),
                now_ms=now,
            )
        load.reported = answer.in_progress
        if (
            answer.outcome == "completed"
            and answer.status < MIN_SERVER_ERROR_STATUS
        ):
            self.routing_policy.succeeded(
                load, elapsed_ms=elapsed_ms, now_ms=now
            )
        elif self.routing_policy.failed(load, now_ms=now):
            events.log(
                events.UPSTREAM_EJECTED,
                upstream=load.upstream,
                failures=load.failures,
                last=answer.text or answer.status,
            )

    async def _exchange(
        self,
        request: caller_requests.CallerRequest,
        load: routing.UpstreamLoad,
    ) -> messages.Answer:
        state = self.table.routes.get(load.upstream)
        if state is None:
            return _not_sent(request, "the route was removed")
        address = state.route.agent
        try:
            await self.links.ensure_open(
                address, timeout_ms=self._remaining_ms(request)
            )
            dispatch = self._dispatch(request, load.upstream)
            if dispatch.deadline_ms <= 0:
                return _not_sent(request, "late", error_texts.DEADLINE)
            answer = await self.links.request(
                address, dispatch, timeout_ms=dispatch.deadline_ms
            )
        except agent_links.AgentUnavailableError as err:
            return _not_sent(request, str(err))
        except errors.RouterError as err:
            return _no_answer(request, str(err))
        return _verify_answer(request, answer, address)

    def _dispatch(
        self, request: caller_requests.CallerRequest, upstream: str
    ) -> messages.Dispatch:
        age = self.leader_contact.contact_age_ms()
        return messages.Dispatch(
            request_id=request.request_id,
            service=request.row.name,
            upstream=upstream,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            digest=caller_requests.digest(request.body),
            deadline_ms=self._remaining_ms(request),
            urgency=request.row.urgency,
            team=request.row.owner,
            reservation=request.key,
            route_age_ms=NO_CONTACT_AGE_MS if age is None else age,
        )

    def _remaining_ms(self, request: caller_requests.CallerRequest) -> int:
        return request.deadline - self.clock.now()


def _verify_answer(
    request: caller_requests.CallerRequest,
    answer: messages.Message,
    agent: str,
) -> messages.Answer:
    """Returns the answer if it matches the request and its own digest.

    Otherwise logs the mismatch and returns an answer of unknown outcome.
    """
    if not isinstance(answer, messages.Answer):
        return _no_answer(request, f"unexpected {type(answer).__name__}")
    mismatch = ""
    if answer.request_id != request.request_id:
        mismatch = f"belongs to request {answer.request_id}"
    elif (
        answer.outcome == "completed"
        and caller_requests.digest(answer.body) != answer.digest
    ):
        mismatch = "does not match its digest"
    if not mismatch:
        return answer
    events.log(
        events.ANSWER_DAMAGED,
        request=request.request_id,
        peer=agent,
        error=mismatch,
    )
    return _no_answer(request, f"the answer {mismatch}")


def _reply(answer: messages.Answer) -> caller_requests.Reply:
    if answer.outcome == "completed":
        return caller_requests.Reply(
            outcome="completed",
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )
    return caller_requests.error_reply(
        answer.outcome, answer.code, text=answer.text
    )


def _no_upstream(
    request: caller_requests.CallerRequest,
) -> caller_requests.Reply:
    return caller_requests.error_reply(
        "not_run", error_texts.NO_UPSTREAM, service=request.row.name
    )


def _not_sent(
    request: caller_requests.CallerRequest,
    detail: str,
    code: str = error_texts.NO_UPSTREAM,
) -> messages.Answer:
    text = error_texts.text_for(code, service=request.row.name)
    return messages.Answer(
        request_id=request.request_id,
        outcome="not_run",
        code=code,
        text=f"{text}: {detail}",
    )


def _no_answer(
    request: caller_requests.CallerRequest, detail: str
) -> messages.Answer:
    return messages.Answer(
        request_id=request.request_id,
        outcome="unknown",
        code=error_texts.NO_ANSWER,
        text=error_texts.text_for(error_texts.NO_ANSWER, detail=detail),
    )
