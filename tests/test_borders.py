"""Fuzzes every interface that decodes input from other processes.

A decoder must accept an input or raise its documented error; any other error
would reach a loop or handler that doesn't expect it. The inputs are random but
reproducible, as their seed is fixed. The environment variable BORDER_EXAMPLES
sets the number of inputs per decoder.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import json
import math
import os
import pathlib
import tempfile
import time
from typing import Any
import unittest

import cbor2
import hypothesis
from hypothesis import strategies
import msgspec

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import ready_tasks
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_limits
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import json_body
from bamboorouter.protocol import messages
from bamboorouter.protocol import operator_http
from bamboorouter.protocol import sheet
from bamboorouter.protocol import value_limits
from bamboorouter.state import stepped_jobs
from bamboorouter.transport import link
from tests import job_builders as make
from tests import platform_site

# The import of platform_site has added the folder of these modules to the path.
import caller_api  # isort: skip
import node_settings  # isort: skip
import wire  # isort: skip

# Processor time of a decoder, with much reserve for a busy machine.
MAX_DECODE_S = 2.0
EXAMPLES = int(os.environ.get("BORDER_EXAMPLES", "150"))

# --- Inputs ------------------------------------------------------------------

NUMBERS = strategies.one_of(
    strategies.integers(-(10**5), 10**5),
    strategies.sampled_from([-1, 0, 1, 300, 50_000]),
    # Beyond the exact range of a float, 64 bits and the range of a float.
    strategies.sampled_from([1 << 53, 1 << 63, 1 << 64, 10**30, 10**400]),
    strategies.sampled_from([-(1 << 63), -(10**30), 1e300, -1e300]),
    strategies.floats(allow_nan=False, allow_infinity=False),
)
TEXTS = strategies.text() | strategies.sampled_from(
    ["x" * 2000, "x" * 70_000, "10.0.0.1: 80", "a.0.0.\u0661", "\r\n", "1"]
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | TEXTS,
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(), inner, max_size=4),
    max_leaves=8,
)

JOB: dict[str, Any] = {
    "spec": "work",
    "phases": [
        {"count": 3, "cpu": 500, "memMb": 100, "gpu": 0, "estimateMs": 20},
        {"count": 2, "after": [0], "antiAffinity": 1, "targetMs": 5},
    ],
    "repeatCount": 2,
    "firstMs": 5,
    "intervalMs": 10,
}
ANNOUNCEMENT = platform_site.StandInWorker(address="127.0.0.1:1").announcement()
VIEW: dict[str, Any] = {
    "clockMs": 5,
    "born": 7,
    "running": [["a.0.1.2", 1, "c", 40, 3]],
    "finished": [[1, "a.0.0.0", 1, "done", ""]],
}
# Each is tried in each field, besides random values.
ODD_VALUES: tuple[Any, ...] = (
    *(None, True, -1, 0, 1.5, 1 << 53, 1 << 63, 1 << 64, 10**30, 10**400),
    *(-(10**30), 1e300, "", "x" * 70_000, [], {}, [[1]], {"a": 1}),
)
ADVICE: dict[str, Any] = {"allowed": [["i-1", "t-1"]], "validMs": 900}
REPORT = messages.CODEC.to_plain(
    job_messages.WorkerReport(
        worker="w1",
        life="w1@1",
        session=1,
        sequence=1,
        service="desk",
        zone="z1",
        labels=("a",),
        rack="r1",
        room=common.Resources(millicores=1000),
        draining=False,
        reachable=True,
        runs=(),
        ends=(jobs.RunEnd(task=make.ref(), attempt=1, how="done"),),
    )
)


def mutations(document: Any) -> strategies.SearchStrategy[Any]:
    """Returns copies of a document in which up to three values are replaced."""

    @strategies.composite
    def draw_mutation(draw: strategies.DrawFn) -> Any:
        copy = json.loads(json.dumps(document))
        for _ in range(draw(strategies.integers(1, 3))):
            container = copy
            while True:
                if isinstance(container, dict) and container:
                    key = draw(strategies.sampled_from(sorted(container)))
                elif isinstance(container, list) and container:
                    key = draw(strategies.integers(0, len(container) - 1))
                else:
                    break
                inner = container[key]
                if not inner or not isinstance(inner, (dict, list)):
                    container[key] = draw(VALUES)
                    break
                if draw(strategies.integers(0, 3)) == 0:
                    container[key] = draw(VALUES)
                    break
                container = inner
        return copy

    return draw_mutation()


def any_value_in_any_field(
    document: Any,
) -> strategies.SearchStrategy[bytes]:
    """Returns the document with one odd value, for each field alike."""
    return strategies.tuples(
        strategies.sampled_from(list(_paths(document))), VALUES
    ).map(lambda drawn: replace_value(document, *drawn))


def replace_value(document: Any, path: tuple[Any, ...], value: Any) -> bytes:
    """Returns a document as JSON in which one value is replaced."""
    copy = json.loads(json.dumps(document))
    container = copy
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return json.dumps(copy).encode()


def _paths(document: Any) -> Iterator[tuple[Any, ...]]:
    """Yields the path of each field and row of a document."""
    items: Iterable[tuple[Any, Any]] = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield (key,)
        for path in _paths(value):
            yield (key, *path)


def find_value_out_of_bounds(value: Any) -> str:
    """Returns a value of a decoded object that is out of bounds, or nothing."""
    if isinstance(value, bool | None):
        return ""
    if isinstance(value, int):
        in_bounds = abs(value) <= value_limits.MAX_SERIAL
        return "" if in_bounds else f"number {value}"
    if isinstance(value, float):
        return "" if math.isfinite(value) else f"number {value}"
    if isinstance(value, str):
        in_bounds = len(value) <= value_limits.MAX_TEXT_CHARACTERS
        return "" if in_bounds else f"text {value[:20]!r}"
    if isinstance(value, bytes):
        return ""
    if dataclasses.is_dataclass(value):
        inner = [
            getattr(value, field.name) for field in dataclasses.fields(value)
        ]
    elif isinstance(value, msgspec.Struct):
        inner = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        inner = [*value, *value.values()]
    elif isinstance(value, tuple | list):
        inner = list(value)
    else:
        return f"unexpected {type(value).__name__}"
    return next(filter(None, map(find_value_out_of_bounds, inner)), "")


def bodies(document: Any) -> strategies.SearchStrategy[bytes]:
    """Returns mutated, truncated and deeply nested JSON, and random bytes."""
    mutated = mutations(document).map(lambda value: json.dumps(value).encode())
    whole = json.dumps(document).encode()
    truncated = strategies.integers(0, len(whole)).map(
        lambda size: whole[:size]
    )
    nested = strategies.integers(1, 5000).map(lambda n: b'{"spec":' + b"[" * n)
    return strategies.one_of(
        mutated, truncated, nested, strategies.binary(max_size=64)
    )


def run_check(
    inputs: strategies.SearchStrategy[Any], check: Callable[[Any], None]
) -> None:
    """Calls a check with `EXAMPLES` inputs and shows a minimal failing one."""

    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(inputs)
    def run(value: Any) -> None:
        check(value)

    run()


class PlatformBorderTest(unittest.TestCase):
    """Tests input from callers, operators and workers."""

    def test_job_is_taken_whole_or_refused(self) -> None:
        run_check(bodies(JOB), self._check_job)

    def _check_job(self, body: bytes) -> None:
        try:
            spec = wire.decode_job(body)
        except wire.InvalidError:
            return
        job_state = make.Jobs()
        job_state.open_session()
        admission_policy = admission.Admission(
            worker_capacities=lambda _: [make.CAPACITY]
        )
        admission_policy.check(job_state.state, make.queue(), spec)
        command = job_commands.AcceptSteps(job="a", queue="forms", spec=spec)
        plain = commands.BATCH_CODEC.encode(
            commands.CommandBatch(wall_ms=1, commands=(command,))
        )
        self.assertEqual(
            commands.BATCH_CODEC.decode(plain).commands, (command,)
        )
        self.assertTrue(job_state.state.accept(command, 0).ok)
        # Late enough for the occurrences of the job to be due.
        for task in ready_tasks.ready_tasks(
            job_state.state, wall_ms=10**13, failed_on={}
        )[:4]:
            job_state.start(task.ref)
            used = job_state.state.used_on("w1")
            self.assertGreaterEqual(min(used.millicores, used.memory_mb), 0)

    def test_configuration(self) -> None:
        run_check(
            bodies(platform_site.configuration()),
            self._raises_only(wire.InvalidError, wire.decode_configuration),
        )

    def test_announcement(self) -> None:
        run_check(
            bodies(ANNOUNCEMENT),
            self._raises_only(
                wire.InvalidError,
                lambda body: wire.decode_announcement("i-1", body),
            ),
        )

    def test_view_of_a_worker(self) -> None:
        run_check(
            bodies(VIEW), self._raises_only(wire.InvalidError, wire.decode_view)
        )

    def test_rejection_of_a_worker(self) -> None:
        run_check(
            bodies({"reason": "old"}),
            self._raises_only(wire.InvalidError, wire.decode_rejection),
        )

    def test_settings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "settings.toml"

            def load(data: bytes) -> None:
                file.write_bytes(data)
                node_settings.load(file)

            run_check(
                strategies.binary(max_size=200),
                self._raises_only(errors.OptionsError, load),
            )

    def _raises_only(
        self, expected: type[Exception], decode: Callable[[bytes], object]
    ) -> Callable[[bytes], None]:
        def check(body: bytes) -> None:
            try:
                decode(body)
            except expected:
                return

        return check

    def test_deadline_of_a_caller(self) -> None:
        class Request:
            headers: dict[str, str] = {}

        def check(value: str) -> None:
            Request.headers = {wire.DEADLINE_HEADER: value}
            timeout_ms = caller_api._timeout_ms(Request)  # type: ignore[arg-type]
            self.assertLessEqual(timeout_ms, caller_api.MAX_DEADLINE_MS)
            self.assertGreaterEqual(timeout_ms, caller_api.MIN_TIMEOUT_MS)

        # Python's int() accepts digits of other scripts, but no superscripts.
        digits = strategies.text(alphabet="0123456789²٣ -+.e", max_size=30)
        run_check(digits | strategies.text(max_size=10), check)


class AnyValueTest(unittest.TestCase):
    """Any JSON value in any field gives an object within bounds or an error."""

    def check(
        self,
        document: Any,
        decode: Callable[[bytes], object],
        error: type[Exception] = wire.InvalidError,
    ) -> None:
        def check_body(body: bytes) -> None:
            started_s = time.process_time()
            try:
                decoded = decode(body)
            except error:
                decoded = None
            self.assertLess(time.process_time() - started_s, MAX_DECODE_S)
            self.assertEqual(find_value_out_of_bounds(decoded), "")

        for path, value in itertools.product(_paths(document), ODD_VALUES):
            check_body(replace_value(document, path, value))
        run_check(any_value_in_any_field(document), check_body)

    def test_job(self) -> None:
        self.check(JOB, wire.decode_job)

    def test_configuration(self) -> None:
        self.check(
            platform_site.configuration(),
            lambda body: msgspec.structs.replace(
                wire.decode_configuration(body), document=b""
            ),
        )

    def test_announcement(self) -> None:
        self.check(
            ANNOUNCEMENT, lambda body: wire.decode_announcement("i-1", body)
        )

    def test_departure(self) -> None:
        self.check({"born": 7}, wire.decode_departure)

    def test_view(self) -> None:
        self.check(VIEW, wire.decode_view)

    def test_advice(self) -> None:
        self.check(ADVICE, wire.decode_advice)

    def test_rejection(self) -> None:
        self.check({"reason": "old"}, wire.decode_rejection)

    def test_arguments_of_an_operator(self) -> None:
        """What passes the check can be sent to the leader and decoded there."""

        def decode(body: bytes) -> object:
            call = json_body.decode(body, operator_http.CallBody)
            if problem := json_body.find_unsendable(call.arguments):
                raise ValueError(problem)
            message = messages.OperatorCall(
                operation="status",
                operation_id=call.operation_id,
                operator=call.operator,
                arguments=call.arguments,
            )
            frame = link._encode_frame(0, 1, message)
            self.assertEqual(link._decode_frame(frame)[2], message)
            return None

        self.check(
            {
                "operation_id": "1",
                "operator": "o",
                "arguments": {"a": [1], "b": {"c": "d"}},
            },
            decode,
            ValueError,
        )

    def test_report_that_a_leader_takes(self) -> None:
        """Whatever a leader takes from an agent, it can commit and apply."""

        def check(frame: bytes) -> None:
            try:
                _, _, message = link._decode_frame(frame)
            except errors.ProtocolError:
                return
            if not isinstance(message, job_messages.WorkerReport):
                return
            job_state = make.Jobs()
            job_state.accept("a", make.step())
            command_list = (
                job_commands.OpenSession(
                    worker=message.worker, life=message.life, room=message.room
                ),
                job_commands.EndRuns(ends=message.ends),
            )
            batch = commands.CommandBatch(wall_ms=1, commands=command_list)
            encoded = commands.BATCH_CODEC.encode(batch)
            self.assertEqual(commands.BATCH_CODEC.decode(encoded), batch)
            job_state.state.open_session(command_list[0])
            job_state.state.end(command_list[1])
            restored = stepped_jobs.SteppedJobs()
            plain = cbor2.loads(cbor2.dumps(job_state.state.snapshot()))
            restored.restore(plain)

        run_check(
            mutations(REPORT).map(lambda plain: cbor2.dumps([0, 1, plain])),
            check,
        )


class ProductBorderTest(unittest.TestCase):
    """Tests input from other processes of the router, and sheets."""

    def test_frame_of_a_link(self) -> None:
        # A frame is a list of the kind, an ID and the message.
        mutated = mutations(REPORT).map(
            lambda plain: cbor2.dumps([0, 1, plain])
        )
        # The number 0 in `n` nested CBOR arrays.
        nested = strategies.integers(1, 3000).map(
            lambda n: b"\x81" * n + b"\x00"
        )

        def check(frame: bytes) -> None:
            try:
                link._decode_frame(frame)
            except errors.ProtocolError:
                return

        run_check(mutated | nested | strategies.binary(max_size=64), check)

    def test_tagged_value_in_a_frame(self) -> None:
        """Guards against values that fail only where they are sent on.

        Each is an argument of a call of an operator, which the sender of the
        frame encodes as CBOR again.
        """
        call = messages.CODEC.to_plain(
            messages.OperatorCall(
                operation="status",
                operation_id="1",
                operator="o",
                arguments={},
            )
        )
        empty = cbor2.dumps([0, 1, call])
        self.assertEqual(empty[-1:], cbor2.dumps({}))
        for name, value in (
            ("number of more than 64 bits", cbor2.dumps(10**30)),
            ("list that contains itself", b"\xd8\x1c\x81\xd8\x1d\x00"),
            ("network", b"\xd9\x01\x05\xa1\x01\x02"),
            ("e-mail", b"\xd8\x24" + cbor2.dumps("x")),
            ("time", b"\xc1\x00"),
            ("pattern", b"\xd8\x23" + cbor2.dumps("(a+)+$")),
            ("unknown tag", b"\xd9\x03\xe8\x01"),
        ):
            frame = empty[:-1] + cbor2.dumps({"a": 0})[:-1] + value
            with self.subTest(name), self.assertRaises(errors.ProtocolError):
                link._decode_frame(frame)

    def test_capacity_of_more_than_64_bits_in_a_frame(self) -> None:
        """Guards against an agent of an earlier version."""
        message = job_messages.OpenWorkerSession(
            worker="w1",
            life="w1@1",
            room=common.Resources(millicores=10**30),
        )
        frame = cbor2.dumps([0, 1, messages.CODEC.to_plain(message)])
        with self.assertRaises(errors.ProtocolError):
            link._decode_frame(frame)

    def test_sheet(self) -> None:
        valid = (platform_site.ROOT / "samples" / "guild.csv").read_bytes()

        def check(data: bytes) -> None:
            try:
                sheet.parse_sheet(data)
            except sheet.SheetInvalidError:
                return

        edited = strategies.tuples(
            strategies.integers(0, len(valid)), strategies.binary(max_size=9)
        ).map(lambda edit: valid[: edit[0]] + edit[1] + valid[edit[0] + 3 :])
        run_check(edited | strategies.binary(max_size=64), check)

    def test_link_to_an_address_that_can_not_be_read(self) -> None:
        async def dial(address: str) -> None:
            with self.assertRaises(errors.LinkClosedError):
                await link.open_link(address=address, timeout_ms=50)

        for address in ("", "127.0.0.1:99999", "[", "127.0.0.1:x"):
            with self.subTest(address):
                asyncio.run(dial(address))


class JobLimitsTest(unittest.TestCase):
    """Tests that no job can stop the replicas or the scheduling of others."""

    def accept(self, spec: jobs.JobSpec) -> bool:
        command = job_commands.AcceptSteps(job="a", queue="forms", spec=spec)
        return make.Jobs().state.accept(command, 0).ok

    def test_job_with_too_many_tasks_is_refused(self) -> None:
        """Guards against a log entry that crashes each replica applying it."""
        # Only just over the limits, so that the test survives a missing check.
        max_tasks = job_limits.MAX_TASKS
        for spec in (
            jobs.JobSpec(spec="w", steps=(make.step(max_tasks + 1),)),
            jobs.JobSpec(spec="w", steps=(make.step(2),), repeats=max_tasks),
            jobs.JobSpec(
                spec="w", steps=(make.step(),) * (job_limits.MAX_STEPS + 1)
            ),
        ):
            with self.subTest(len(spec.steps)):
                self.assertFalse(self.accept(spec))
                admission_policy = admission.Admission(
                    worker_capacities=lambda _: []
                )
                state = make.Jobs().state
                verdict = admission_policy.check(state, make.queue(), spec)
                assert verdict is not None
                # A retry can't succeed.
                self.assertEqual(verdict.retry_after_ms, 0)

    def test_need_below_zero_makes_no_room(self) -> None:
        """Guards against overcommitted workers.

        A negative need would add capacity that the worker doesn't have. A
        need above the limit may make sums inexact in other languages.
        """
        for amount in (-60_000, 10**30):
            step = make.step(need=make.need(millicores=amount))
            spec = jobs.JobSpec(spec="w", steps=(step,))
            with self.subTest(amount):
                self.assertFalse(self.accept(spec))

    def test_longest_chain_of_steps_can_be_ordered(self) -> None:
        """Guards against a chain that makes every pass of the leader fail."""
        first = make.step()
        steps = (
            first,
            *(
                make.step(after=(number,))
                for number in range(job_limits.MAX_STEPS - 1)
            ),
        )
        job_state = make.Jobs()
        job_state.accept("a", *steps)
        self.assertEqual(
            ready_tasks.critical_path_ms(steps, range(len(steps))),
            1000 * len(steps),
        )
        (task,) = ready_tasks.ready_tasks(
            job_state.state, wall_ms=clock.Millis(0), failed_on={}
        )
        self.assertEqual(task.ref, make.ref())


if __name__ == "__main__":
    unittest.main()
