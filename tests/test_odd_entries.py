"""Guards against single odd values in messages of other programs.

An odd value must be refused, or at least not hide the true ones after it.
"""

import asyncio
import contextlib
import itertools
import json
import pathlib
import tempfile
import time
import tracemalloc
from typing import Any
from typing import TypeVar
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
import cbor2
import msgspec

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import options
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import observation_recorder
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_limits
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import messages
from bamboorouter.protocol import sheet
from bamboorouter.protocol import value_limits
from bamboorouter.roles import agent_local
from bamboorouter.roles import operator_api
from bamboorouter.roles import worker_client
from bamboorouter.transport import link
from tests import fake_worker
from tests import job_builders as make
from tests import platform_site
from tests import replica_site
from tests import test_job_dispatcher

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import bounded_body  # isort: skip
import caller_api  # isort: skip
import http_server  # isort: skip
import node_settings  # isort: skip
import settings_watch  # isort: skip
import wire  # isort: skip
import worker_http  # isort: skip

# Numbers beyond 64 bits, and beyond the range of a float.
HUGE_NUMBERS = (10**30, 10**400)
T = TypeVar("T", bound=worker_client.Model)
CHUNK_BYTES = 64 * 1024
ANNOUNCEMENT = platform_site.StandInWorker(address="10.0.0.1:80").announcement()


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


class AnnouncementTest(unittest.TestCase):
    """Odd announcements are refused as a whole."""

    def assert_refused(self, **fields: Any) -> None:
        with self.assertRaises(wire.InvalidError):
            wire.decode_announcement("i-1", encode({**ANNOUNCEMENT, **fields}))

    def test_number_out_of_range(self) -> None:
        """Guards against a sequence or start that is the newest for good.

        A capacity out of range would become the replicated room of the worker.
        """
        for number in (*HUGE_NUMBERS, -1):
            for field in ("seq", "born"):
                with self.subTest(field, number=str(number)[:5]):
                    self.assert_refused(**{field: number})
            for field in ("cpu", "memMb", "gpu"):
                with self.subTest(field, number=str(number)[:5]):
                    capacity = {**ANNOUNCEMENT["capacity"], field: number}
                    self.assert_refused(capacity=capacity)

    def test_text_or_list_that_is_too_long(self) -> None:
        """Guards against reports that are too large for a message."""
        text = "x" * (value_limits.MAX_NAME_CHARACTERS + 1)
        for fields in (
            {"service": text},
            {"zone": text},
            {"labels": [text]},
            {"labels": ["a"] * (value_limits.MAX_LABELS + 1)},
        ):
            with self.subTest(list(fields)):
                self.assert_refused(**fields)

    def test_address_that_int_takes_and_the_platform_never_writes(self) -> None:
        """Guards against orders to an address that nobody has announced."""
        for address in (
            "10.0.0.1: 80",
            "10.0.0.1:+80",
            "10.0.0.1:8_0",
            "10.0.0.1:\u0668\u0660",  # Arabic-Indic digits.
            "10.0.0.1:080",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * 5000,
            "::1:80",
            "desk.example:80",
            "10.0.0.1",
        ):
            with self.subTest(address[:20]):
                self.assert_refused(addr=address)

    def test_id_that_no_header_can_carry(self) -> None:
        """Guards against a poll that fails for another reason than silence."""
        for worker_id in ("", "a\r\nb", "a\0b", "a\udcff", "i" * 2000):
            with (
                self.subTest(worker_id[:5]),
                self.assertRaises(wire.InvalidError),
            ):
                wire.decode_announcement(worker_id, encode(ANNOUNCEMENT))

    def test_largest_plausible_values_are_taken(self) -> None:
        announcement = wire.decode_announcement(
            "i-1",
            encode(
                {
                    **ANNOUNCEMENT,
                    "seq": value_limits.MAX_SERIAL,
                    "capacity": {"cpu": 10**6, "memMb": 10**8, "gpu": 10**3},
                    "labels": ["x" * value_limits.MAX_NAME_CHARACTERS] * 9,
                }
            ),
        )
        self.assertEqual(announcement.sequence, value_limits.MAX_SERIAL)


class ViewTest(unittest.TestCase):
    """Odd rows of a worker's view are skipped; an odd view is refused."""

    RUNNING = ("a.0.1.2", 1, "c", 40, 3)
    ENDED = (1, "a.0.0.0", 1, "done", "")

    def decode(self, **fields: Any) -> worker_port.WorkerView:
        body = {"clockMs": 5, "born": 7, **fields}
        return wire.decode_view(encode(body))[1]

    def test_clock_or_start_out_of_range(self) -> None:
        """Guards against a view that is the newest for good."""
        for number in (*HUGE_NUMBERS, -1):
            for field in ("clockMs", "born"):
                with (
                    self.subTest(field, number=str(number)[:5]),
                    self.assertRaises(wire.InvalidError),
                ):
                    self.decode(**{field: number})

    def test_odd_value_of_a_running_run(self) -> None:
        """Guards against odd values in reports and in the replicated state."""
        text = "x" * (value_limits.MAX_TEXT_CHARACTERS + 1)
        for position, values in (
            (0, (None, 7, "a.0.1", "a.0.1.-2", "a.0.1.\u0662", "a.0.1.1_0")),
            (0, (f"a.0.1.{10**30}", f"{text}.0.1.2", ".0.1.2")),
            (1, ("1", 1.5, True, -1, None, *HUGE_NUMBERS)),
            (2, (None, 5, ["c"], text)),
            (3, ("40", -1, 101, None, *HUGE_NUMBERS)),
            (4, ("3", -1, None, *HUGE_NUMBERS)),
        ):
            for value in values:
                row = [*self.RUNNING]
                row[position] = value
                with self.subTest(position=position, value=str(value)[:9]):
                    view = self.decode(running=[self.RUNNING, row])
                    self.assertEqual(len(view.running), 1)
                    self.assertFalse(view.complete)

    def test_odd_value_of_an_ended_run(self) -> None:
        """Guards against a number after which all later ends are ignored."""
        text = "x" * (value_limits.MAX_TEXT_CHARACTERS + 1)
        odd_values: tuple[tuple[int, tuple[Any, ...]], ...] = (
            (0, ("2", 1.5, True, 0, -1, None, *HUGE_NUMBERS)),
            (1, (None, 7, "a.0.1", "a.0.1.1_0")),
            (2, ("1", 1.5, -1, None, *HUGE_NUMBERS)),
            # Only the leader and the agent declare runs lost or rejected.
            (3, ("gone", "lost", "rejected", None, 7, ["done"], {})),
            (4, (None, 5, text)),
        )
        for position, values in odd_values:
            for value in values:
                row = [*self.ENDED]
                row[position] = value
                with self.subTest(position=position, value=str(value)[:9]):
                    view = self.decode(finished=[row, self.ENDED])
                    self.assertEqual(len(view.ended), 1)
                    self.assertFalse(view.complete)

    def test_rough_figures_may_be_fractions(self) -> None:
        view = self.decode(running=[("a.0.1.2", 1, "c", 40.5, 3.7)])
        self.assertEqual((view.running[0].figure, view.complete), (3, True))

    def test_deeply_nested_row_is_skipped(self) -> None:
        nested: Any = []
        for _ in range(500):
            nested = [nested]
        view = self.decode(running=[nested, self.RUNNING])
        self.assertEqual((len(view.running), view.complete), (1, False))


class DepartureTest(unittest.TestCase):
    """A message that a worker leaves may have no body, but no odd one."""

    def test_start_of_the_incarnation(self) -> None:
        self.assertIsNone(wire.decode_departure(b""))
        self.assertIsNone(wire.decode_departure(b"{}"))
        self.assertEqual(wire.decode_departure(b'{"born":7}'), 7)

    def test_body_that_can_not_be_read(self) -> None:
        """Guards against draining a worker because of another writer."""
        for body in (b"{", b"[]", b'{"born":"7"}', encode({"born": 10**30})):
            with (
                self.subTest(body[:12]),
                self.assertRaises(wire.InvalidError),
            ):
                wire.decode_departure(body)


class ConfigurationTest(unittest.TestCase):
    """Odd configurations are refused as a whole."""

    def assert_refused(self, **fields: Any) -> None:
        document = {**platform_site.configuration(), **fields}
        with self.assertRaises(wire.InvalidError):
            wire.decode_configuration(encode(document))

    def test_version_out_of_range(self) -> None:
        """Guards against a version that is the highest for good."""
        for version in (*HUGE_NUMBERS, value_limits.MAX_SERIAL + 1, -1):
            with self.subTest(str(version)[:5]):
                self.assert_refused(version=version)

    def test_value_of_a_route_out_of_range(self) -> None:
        """Guards against values that reach every replica.

        With a slack factor of 1e300, the time that a job may take is infinite.
        """
        route = platform_site.configuration()["routes"][0]
        text = "x" * (value_limits.MAX_NAME_CHARACTERS + 1)
        for field, value in itertools.chain(
            itertools.product(
                (
                    "timeoutMs",
                    "targetLatencyMs",
                    "priority",
                    "maxAttempts",
                    "slackFactor",
                ),
                (*HUGE_NUMBERS, -1),
            ),
            (("slackFactor", 1e300),),
            itertools.product(("name", "host", "pathPrefix"), (text,)),
        ):
            with self.subTest(field, value=str(value)[:5]):
                self.assert_refused(routes=[{**route, field: value}])

    def test_name_of_a_service_that_is_too_long(self) -> None:
        text = "x" * (value_limits.MAX_NAME_CHARACTERS + 1)
        self.assert_refused(services=[{"name": "desk"}, {"name": text}])

    def test_largest_version_is_taken(self) -> None:
        document = platform_site.configuration(value_limits.MAX_SERIAL)
        self.assertEqual(
            wire.decode_configuration(encode(document)).version,
            value_limits.MAX_SERIAL,
        )


class JobTest(unittest.TestCase):
    """Odd jobs are refused at each border, before they are replicated."""

    STEP: dict[str, Any] = {"count": 1, "cpu": 500}

    def test_step_with_a_text_or_list_that_is_too_long(self) -> None:
        """Guards against a job that slows every pass of the leader down."""
        text = "x" * (value_limits.MAX_NAME_CHARACTERS + 1)
        for fields in (
            {"after": [0] * (job_limits.MAX_STEPS + 1)},
            {"constraints": text},
            {"dataRack": text},
            {"image": text},
        ):
            body = {
                "spec": "w",
                "phases": [self.STEP, {**self.STEP, **fields}],
            }
            with (
                self.subTest(list(fields)),
                self.assertRaises(wire.InvalidError),
            ):
                wire.decode_job(encode(body))

    def test_leader_refuses_a_job_that_a_peer_has_not_checked(self) -> None:
        step = jobs.Step(
            count=1,
            need=common.Resources(millicores=1),
            after=(0,) * (job_limits.MAX_STEPS + 1),
        )
        spec = jobs.JobSpec(
            spec="w", steps=(msgspec.structs.replace(step, after=()), step)
        )
        refusal = admission.Admission(worker_capacities=lambda _: []).check(
            make.Jobs().state, make.queue(), spec
        )
        assert refusal is not None
        self.assertEqual(refusal.retry_after_ms, 0)

    def test_job_that_an_earlier_version_accepted_stays_accepted(self) -> None:
        """Guards against replicas that apply the same entry differently."""
        step = jobs.Step(
            count=1, need=common.Resources(millicores=1), image="x" * 5000
        )
        command = job_commands.AcceptSteps(
            job="a", queue="forms", spec=jobs.JobSpec(spec="w", steps=(step,))
        )
        self.assertTrue(make.Jobs().state.accept(command, 0).ok)

    def test_number_that_is_no_integer(self) -> None:
        for field in ("count", "cpu", "estimateMs"):
            for value in (1.5, "1", True, None, *HUGE_NUMBERS):
                body = {"spec": "w", "phases": [{**self.STEP, field: value}]}
                with (
                    self.subTest(field, value=str(value)[:5]),
                    self.assertRaises(wire.InvalidError),
                ):
                    wire.decode_job(encode(body))


class OperatorCallTest(unittest.IsolatedAsyncioTestCase):
    """Arguments of an operator that no message between processes can carry.

    The leader would close the link of the entry, which other calls share.
    """

    async def asyncSetUp(self) -> None:
        self.client = mock.Mock()
        self.client.clock = clock.SystemClock()
        self.client.call = mock.AsyncMock(
            return_value=messages.OperatorReply(ok=True)
        )
        runner = web.AppRunner(operator_api.make_application(self.client))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{runner.addresses[0][1]}/v1/status"

    async def status(self, arguments: bytes) -> int:
        """Returns the status of a call with arguments encoded as JSON."""
        body = (
            b'{"operation_id":"1","operator":"o","arguments":{"a":%s}}'
            % arguments
        )
        async with (
            aiohttp.ClientSession() as session,
            session.post(self.url, data=body) as response,
        ):
            return response.status

    async def test_arguments_that_can_not_be_sent_are_malformed(self) -> None:
        for arguments in (
            b"%d" % 10**30,
            b'[[1,{"b":-%d}]]' % 10**30,
            b"[" * 100 + b"]" * 100,
            b"[" * 5000 + b"]" * 5000,
            b"[" * 100_000,
        ):
            with self.subTest(arguments[:10]):
                self.assertEqual(await self.status(arguments), 400)
        self.client.call.assert_not_called()

    async def test_other_arguments_are_sent(self) -> None:
        for arguments in (b"[[[[1]]]]", b'{"b":"x"}', b"1.5", b"null"):
            with self.subTest(arguments):
                self.assertEqual(await self.status(arguments), 200)


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Announcements of upstreams on the VM of an agent of the product."""

    async def asyncSetUp(self) -> None:
        self.local = agent_local.AgentLocal(
            host="127.0.0.1",
            port=0,
            time=clock.SystemClock(),
            in_progress=dict,
            on_change=lambda: None,
        )
        await self.local.start()
        self.addAsyncCleanup(self.local.close)

    async def status(self, body: bytes) -> int:
        url = f"http://127.0.0.1:{self.local.port}/upstreams"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=body) as response,
        ):
            return response.status

    async def test_upstream_that_no_request_can_reach(self) -> None:
        """Guards against requests that are given to it and fail."""
        valid = {"id": "a", "service": "s", "url": "http://127.0.0.1:80/x"}
        self.assertEqual(await self.status(encode(valid)), 200)
        odd_fields: tuple[dict[str, Any], ...] = (
            {"url": "http://127.0.0.1:99999/"},
            {"url": "http://127.0.0.1:0/"},
            {"url": "http://127.0.0.1:x/"},
            {"url": "http://127.0.0.1:\u0668\u0660/"},
            {"url": "http://[/"},
            {"url": "http://:80/"},
            {"id": "b" * 200},
            {"service": 7},
            {"more": [[[]]]},
        )
        for fields in odd_fields:
            with self.subTest(fields):
                odd = {**valid, "id": "b", **fields}
                self.assertEqual(await self.status(encode(odd)), 400)
        self.assertEqual(list(self.local.announced), ["a"])
        self.assertEqual(await self.status(b'{"id":' + b"[" * 15_000), 400)


class WorkerAnswerTest(unittest.TestCase):
    """Answers of a worker of the product."""

    USAGE = ("job/1", 1, 500, 100, 0, 900)

    def decode(self, document: Any, kind: type[T]) -> T:
        return worker_client._decode_response(
            200, encode(document), kind, "step", "peer"
        )

    def test_measurement_that_no_message_can_carry_is_skipped(self) -> None:
        """Guards against heartbeats that close the link to the leader."""
        for position in range(1, len(self.USAGE)):
            for value in (*HUGE_NUMBERS, -1, None, "1"):
                row = [*self.USAGE]
                row[position] = value
                report = self.decode(
                    {"usage": [row, self.USAGE]}, worker_client.UsageReport
                )
                with self.subTest(position=position, value=str(value)[:5]):
                    (usage,) = worker_client._parse_usage(report.usage)
                    self.assertEqual(usage.age_ms, 900)

    def test_task_out_of_range_is_malformed(self) -> None:
        task = {
            "task": "job/1",
            "epoch": 1,
            "kind": "batch",
            "millicores": 500,
            "memory_mb": 100,
            "accelerators": 0,
            "slots": 1,
            "state": "running",
        }
        listing: dict[str, Any] = {"version": "1", "at_ms": 5, "tasks": [task]}
        self.assertEqual(
            self.decode(listing, worker_client.WorkerTasks).tasks[0].epoch, 1
        )
        text = "x" * (value_limits.MAX_TEXT_CHARACTERS + 1)
        for field, value in (
            *itertools.product(
                ("epoch", "millicores", "slots", "remaining_ms"), HUGE_NUMBERS
            ),
            ("checkpoint", text),
            ("detail", text),
        ):
            odd = {**listing, "tasks": [{**task, field: value}]}
            with (
                self.subTest(field, value=str(value)[:5]),
                self.assertRaises(errors.UnknownResultError),
            ):
                self.decode(odd, worker_client.WorkerTasks)

    def test_deeply_nested_answer_is_malformed(self) -> None:
        """Guards against an error that no caller expects."""
        for status in (200, 409):
            body = b'{"x":' + b"[" * 100_000
            with (
                self.subTest(status),
                self.assertRaises(errors.UnknownResultError),
            ):
                worker_client._decode_response(
                    status, body, worker_client.RefusalBody, "step", "peer"
                )


class SettingsTest(unittest.TestCase):
    """Odd settings are refused, and a running process keeps the earlier ones."""

    VALID = """
        name = "agent-1"
        zone = "z1"
        ip = "10.0.0.1"
        ports = [7000, 7010]
        seeds = ["10.0.0.2:8166"]
        """
    NESTED = (
        "x = " + "[" * 5000 + "]" * 5000,
        "x = " + "{a = " * 5000,
        "x = " + "9" * 5000,
    )

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "settings.toml"
        self.file.write_text(self.VALID, encoding="utf-8")
        self.role = mock.Mock()

    def write(self, text: str) -> None:
        self.file.write_text(text, encoding="utf-8")

    def test_file_that_no_parser_can_read(self) -> None:
        """Guards against a process that never reads its settings again."""
        for text in self.NESTED:
            self.write(self.VALID + text)
            with self.subTest(text[:8]):
                with self.assertRaises(errors.OptionsError):
                    node_settings.load(self.file)
                with self.assertRaises(errors.OptionsError):
                    options.load_options(str(self.file))

    def test_number_out_of_range(self) -> None:
        """Guards against a lease that no float can express, among others."""
        for text in (
            f"max_worker_lease_ms = {10**400}",
            "max_worker_lease_ms = 0",
            "tolerated_losses = -1",
            f"tolerated_losses = {10**30}",
            "disk_mb = -1",
            "grace_s = nan",
            "grace_s = inf",
        ):
            self.write(f"{self.VALID}\n{text}\n")
            with (
                self.subTest(text[:30]),
                self.assertRaises(errors.OptionsError),
            ):
                node_settings.load(self.file)

    def test_odd_seed_is_left_out(self) -> None:
        self.write(
            self.VALID.replace(
                "seeds = [", 'seeds = ["x", "", "10.0.0.3:99999", ":8166", '
            )
        )
        settings = node_settings.load(self.file)
        self.assertEqual(settings.replicas(), ("10.0.0.2:7000",))

    def test_reload_without_a_valid_seed_keeps_the_earlier_ones(self) -> None:
        watch = settings_watch.SettingsWatch(
            role=self.role,
            file=self.file,
            current=node_settings.load(self.file),
        )
        for text in (
            self.VALID.replace('"10.0.0.2:8166"', ""),
            self.VALID.replace("10.0.0.2:8166", "x"),
            *(self.VALID + text for text in self.NESTED),
            self.VALID[:-30],
            "",
        ):
            self.write(text)
            watch.apply()
        self.role.set_seeds.assert_not_called()
        self.write(self.VALID.replace("10.0.0.2", "10.0.0.4"))
        watch.apply()
        self.role.set_seeds.assert_called_once_with(("10.0.0.4:7000",))


class CheckpointTest(unittest.TestCase):
    """Long checkpoints of one worker, together with those of others."""

    def test_checkpoints_fit_into_commands(self) -> None:
        """Guards against checkpoints that are never recorded again."""
        long = "x" * value_limits.MAX_TEXT_CHARACTERS
        checkpoints = [
            jobs.Checkpoint(
                task=make.ref(index=index),
                attempt=1,
                value=long if index < 80 else "short",
            )
            for index in range(100)
        ]
        batches = list(observation_recorder.batches(checkpoints))
        self.assertEqual(list(itertools.chain(*batches)), checkpoints)
        for batch in batches:
            command = job_commands.NoteCheckpoints(checkpoints=batch)
            encoded = commands.BATCH_CODEC.encode(
                commands.CommandBatch(wall_ms=1, commands=(command,))
            )
            self.assertLess(len(encoded), replica.MAX_COMMAND_BYTES)
        self.assertEqual(list(observation_recorder.batches(())), [])


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Requests of callers with an odd host, path or deadline."""

    async def asyncSetUp(self) -> None:
        client = mock.Mock()
        client.call = self.call
        client.contact_age_ms.return_value = 0
        handler = caller_api.CallerHandler(
            client=client, time=clock.SystemClock()
        )
        self.address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=self.address, routes=[("GET", "/{path:.*}", handler.read)]
        )
        await server.start()
        self.addAsyncCleanup(server.stop)

    async def call(
        self, message: messages.Message, **_: Any
    ) -> messages.Message:
        cbor2.dumps(messages.CODEC.to_plain(message))
        return job_messages.JobAnswer(outcome="ok", state="queued")

    async def status(self, head: bytes) -> int:
        """Returns the status of a request with this head."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + b"\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def test_host_or_path_that_is_no_text_names_no_queue(self) -> None:
        for head in (
            b"GET /forms/00ff HTTP/1.1\r\nHost: desk\xff",
            b"GET /forms/\xff HTTP/1.1\r\nHost: desk",
            b"GET /forms/%ff HTTP/1.1\r\nHost: desk",
            b"GET /forms/%ed%a0%80 HTTP/1.1\r\nHost: desk",
        ):
            with self.subTest(head):
                self.assertIn(await self.status(head), (200, 400, 404))

    async def test_deadline_out_of_range(self) -> None:
        for value in (b"9" * 5000, b"-1", b"nan", b"1e400", b"\xff"):
            head = b"GET /forms/00ff HTTP/1.1\r\nHost: desk\r\n"
            with self.subTest(value[:5]):
                self.assertEqual(
                    await self.status(head + b"Deadline-Ms: " + value), 200
                )


class LongJobIdTest(test_job_dispatcher.DispatcherCase):
    """An ID that is too long to be part of the name of a task."""

    async def test_job_with_a_long_id_is_not_accepted(self) -> None:
        """Guards against runs whose rows can't be read."""
        longest = "x" * value_limits.MAX_JOB_ID_CHARACTERS
        self.assertEqual(await self.submit(longest), "ok")
        self.assertEqual(await self.submit(longest + "x"), "no_queue")
        self.assertEqual(list(self.log.machine.stepped.jobs), [longest])
        name = wire.encode_task(
            make.ref(longest, occurrence=9999, step=255, index=9999)
        )
        self.assertLess(len(name), value_limits.MAX_NAME_CHARACTERS)


class SheetTest(unittest.TestCase):
    """Sheets that would take the leader's memory or time.

    The operator's program sends such a sheet again, to the next leader.
    """

    HEADER = "kind,name,owner,urgency,place,processors,memory_mb"

    def faults(self, *rows: str) -> list[sheet.Fault]:
        """Returns the faults of a sheet after its revision."""
        text = "\n".join(("revision,1", *rows))
        started_s = time.process_time()
        with self.assertRaises(sheet.SheetInvalidError) as caught:
            sheet.parse_sheet(text.encode())
        self.assertLess(time.process_time() - started_s, 2.0)
        return list(caught.exception.faults)

    def test_many_invalid_rows(self) -> None:
        rows = ["x"] * (sheet.MAX_ROWS - 10)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        faults = self.faults(self.HEADER, *rows)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(len(faults), sheet.MAX_FAULTS)
        self.assertLess(peak_bytes, 16 * 1024 * 1024)

    def test_too_many_rows(self) -> None:
        (fault,) = self.faults(self.HEADER, *[""] * (sheet.MAX_ROWS + 10))
        self.assertIn("rows", fault.allowed)

    def test_too_many_columns(self) -> None:
        columns = ",".join(str(number) for number in range(50_000))
        (fault,) = self.faults(columns, columns)
        self.assertIn("columns", fault.allowed)


class OddJobTest(test_job_dispatcher.DispatcherCase):
    """A job whose declared sizes are far too large is accepted."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(
                    2,
                    make.queue(),
                    make.queue(name="other", prefix="/other/"),
                )
            )
        )

    async def test_other_jobs_are_not_refused_for_it(self) -> None:
        """Guards against queues that refuse every job after an odd one."""
        await self.connect_agent()
        odd = make.step(estimate_ms=job_limits.MAX_AMOUNT)
        self.log.apply(
            job_commands.AcceptSteps(
                job="odd",
                queue="other",
                spec=jobs.JobSpec(spec="work", steps=(odd,)),
            )
        )
        outcomes = [await self.submit(f"{n:x}") for n in range(4)]
        self.assertEqual(set(outcomes), {"ok"})

    async def test_refusal_behind_odd_jobs_can_be_sent(self) -> None:
        """Guards against a refusal that closes the link of an entry."""
        largest = make.step(
            job_limits.MAX_TASKS,
            estimate_ms=job_limits.MAX_AMOUNT,
            need=make.need(job_limits.MAX_AMOUNT, 1),
        )
        for number in range(3):
            await self.submit(f"odd-{number}", largest)
        await self.connect_agent()
        answer = await self.job_handler.submit(self.submission("a"))
        self.assertEqual(answer.outcome, "refused")
        self.assertLessEqual(
            answer.retry_after_ms, admission.MAX_RETRY_AFTER_MS
        )
        frame = link._encode_frame(1, 1, answer)
        self.assertEqual(link._decode_frame(frame)[2], answer)


class NoSeedTest(unittest.IsolatedAsyncioTestCase):
    """A client without the address of any replica."""

    async def test_call_fails_as_if_no_replica_answered(self) -> None:
        client = control_client.ControlClient(
            addresses=(), time=clock.SystemClock()
        )
        self.addAsyncCleanup(client.close)
        with self.assertRaises(errors.RouterError):
            await client.call(job_messages.ReadConfiguration(), timeout_ms=200)


class WorkerPortTest(unittest.IsolatedAsyncioTestCase):
    """A port to an incarnation whose ID or answers are odd."""

    async def test_poll_with_an_id_that_no_header_can_carry(self) -> None:
        """Guards against a poll loop that fails for ever at the same entry."""

        async def answer(_: web.Request) -> web.Response:
            return web.json_response({"clockMs": 1, "born": 1})

        address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=address, routes=[("POST", wire.HOLD_PATH, answer)]
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        port = worker_http.HttpWorkerPortFactory().open(
            fake_worker.announcement(id="a\r\nb", address=address)
        )
        self.addAsyncCleanup(port.close)
        with self.assertRaises(worker_port.NoAnswerError):
            await port.poll(token=0, acknowledged=0, until_ms=None, wait_ms=0)

    async def test_answer_that_is_too_large(self) -> None:
        """Guards against an agent that runs out of memory, again and again."""

        async def answer(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            if await request.read() != b"chunked":
                response.content_length = 2 * bounded_body.MAX_BYTES
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                for _ in range(2 * bounded_body.MAX_BYTES // CHUNK_BYTES):
                    await response.write(b" " * CHUNK_BYTES)
            return response

        address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=address, routes=[("POST", wire.HOLD_PATH, answer)]
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        port = worker_http.HttpWorkerPortFactory().open(
            fake_worker.announcement(address=address)
        )
        self.addAsyncCleanup(port.close)
        with self.assertRaisesRegex(worker_port.NoAnswerError, "too large"):
            await port.poll(token=0, acknowledged=0, until_ms=None, wait_ms=0)
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{address}{wire.HOLD_PATH}", data=b"chunked"
            ) as response,
        ):
            with self.assertRaises(bounded_body.BodyTooLargeError):
                await bounded_body.read(response)


if __name__ == "__main__":
    unittest.main()
