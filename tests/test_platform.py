"""Tests the platform adapter: decoding, settings and requests end to end."""

import asyncio
import json
import pathlib
import re
import subprocess
import sys
import tempfile
from typing import Any
import unittest

from aiohttp import web

from bamboorouter.coordination.workers import worker_port
from tests import fake_worker
from tests import platform_site
from tests import replica_site
from tests import virtual_time

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import control_node  # isort: skip
import http_server  # isort: skip
import node_settings  # isort: skip
import wire  # isort: skip
import worker_http  # isort: skip

JOB: dict[str, Any] = {
    "spec": "work",
    "phases": [
        {"count": 3, "cpu": 500, "memMb": 100, "estimateMs": 20},
        {"count": 2, "cpu": 500, "memMb": 100, "after": [0]},
    ],
}
TEMPLATE = platform_site.ROOT / "deploy" / "settings.toml.in"
PLATFORM_TERMS = re.compile(
    r"\b(minions?|fleetbench|requesters?|run-start|run-stop)\b", re.IGNORECASE
)

# Three voters among the site's four replicas tolerate the loss of one.
VOTERS = 3


class FolderTest(unittest.TestCase):
    """The adapter's folder and terms stay apart from the package."""

    def test_folder_does_not_hide_the_standard_module(self) -> None:
        folder = platform_site.ROOT / "platform"
        self.assertFalse((folder / "__init__.py").exists())

    def test_product_does_not_know_the_words_of_the_platform(self) -> None:
        files_with_terms = [
            path.name
            for path in (platform_site.ROOT / "bamboorouter").rglob("*.py")
            if PLATFORM_TERMS.search(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(files_with_terms, [])


class WireTest(unittest.TestCase):
    """Messages are validated on decoding; malformed ones are refused."""

    def test_job_is_decoded(self) -> None:
        body = (
            b'{"spec":"w","phases":[{"count":2,"cpu":500,"memMb":64,'
            b'"antiAffinity":1,"fills":true,"image":"x","unknown":1}]}'
        )
        (step,) = wire.decode_job(body).steps
        self.assertEqual(step.need.millicores, 500)
        self.assertEqual(step.max_per_worker, 1)
        self.assertTrue(step.fills)

    def test_job_that_can_not_be_read_is_refused(self) -> None:
        for body in (
            b"",
            b"[]",
            b'{"spec":"w","phases":[]}',
            b'{"spec":"w","phases":[{"count":0}]}',
            b'{"spec":"w","phases":[{"count":1,"after":[0]}]}',
        ):
            with self.subTest(body), self.assertRaises(wire.InvalidError):
                wire.decode_job(body)

    def test_configuration_that_contradicts_itself_is_refused(self) -> None:
        good = platform_site.configuration()
        self.assertEqual(
            wire.decode_configuration(json.dumps(good).encode()).version, 1
        )
        duplicate_routes = {**good, "routes": good["routes"] * 2}
        unknown_service = {**good, "services": []}
        zero_timeout = platform_site.configuration(timeout_ms=0)
        for bad in (
            duplicate_routes,
            unknown_service,
            zero_timeout,
            {"version": 1},
        ):
            with self.subTest(bad), self.assertRaises(wire.InvalidError):
                wire.decode_configuration(json.dumps(bad).encode())
        with self.assertRaises(wire.InvalidError):
            wire.decode_configuration(json.dumps(good).encode()[:-20])

    def test_queue_that_needs_advice_is_told_from_others(self) -> None:
        without_advice = platform_site.configuration()
        advice = {"decideMs": 5, "periodMs": 1, "validMs": 900}
        null_advice, advised = (
            {
                **without_advice,
                "routes": [{**without_advice["routes"][0], "advice": value}],
            }
            for value in (None, advice)
        )
        advised_flags = [
            wire.decode_configuration(json.dumps(document).encode())
            .queues[0]
            .advised
            for document in (without_advice, null_advice, advised)
        ]
        self.assertEqual(advised_flags, [False, False, True])

    def test_announcement_that_can_not_be_read_names_no_worker(self) -> None:
        good = platform_site.StandInWorker(address="127.0.0.1:1").announcement()
        announcement = wire.decode_announcement(
            "i-1", json.dumps(good).encode()
        )
        self.assertEqual(
            (announcement.rack, announcement.draining), ("r1-1", False)
        )
        for bad in (
            {**good, "state": "sleeping"},
            {**good, "seq": "four"},
            {name: v for name, v in good.items() if name != "born"},
        ):
            with self.subTest(bad), self.assertRaises(wire.InvalidError):
                wire.decode_announcement("i-1", json.dumps(bad).encode())

    def test_rows_that_can_not_be_read_are_left_out(self) -> None:
        body = (
            b'{"clockMs":5,"born":7,"running":[["a.0.1.2",1,"c",40,3],["x"],7],'
            b'"finished":[[1,"a.0.0.0",1,"done",""],[2,"b",1,"what",""]]}'
        )
        born, view = wire.decode_view(body)
        self.assertEqual((born, view.clock_ms), (7, 5))
        self.assertEqual([row.progress for row in view.running], [40])
        self.assertEqual([row.number for row in view.ended], [1])

    def test_list_of_ends_that_may_be_cut_off_is_marked(self) -> None:
        """Guards against giving up a run whose end is on a later list."""
        for count, complete in ((499, True), (500, False)):
            body = {
                "clockMs": 5,
                "born": 7,
                "finished": [
                    [number, f"a.0.0.{number}", 1, "done", ""]
                    for number in range(1, count + 1)
                ],
            }
            _, view = wire.decode_view(json.dumps(body).encode())
            self.assertEqual(view.complete, complete)

    def test_view_with_a_malformed_row_is_incomplete(self) -> None:
        """Guards against giving up a run whose row can't be read."""
        good = ["5c0e.0.1.17", 1, "", 40, 0]
        for running, complete in (([good], True), ([good, ["?"]], False)):
            body = {"clockMs": 5, "born": 7, "running": running, "finished": []}
            _, view = wire.decode_view(json.dumps(body).encode())
            self.assertEqual(view.complete, complete)

    def test_task_names_survive_both_ways(self) -> None:
        self.assertEqual(
            wire.encode_task(wire.decode_task("5c0e.0.1.17")), "5c0e.0.1.17"
        )
        with self.assertRaises(ValueError):
            wire.decode_task("5c0e")


class SettingsTest(unittest.TestCase):
    """The settings template renders to a valid settings file."""

    def render(self, values: dict[str, Any]) -> node_settings.NodeSettings:
        text = TEMPLATE.read_text(encoding="utf-8")
        text = re.sub(
            r"{{#([\w.]+)}}(.*?){{/\1}}",
            lambda m: m[2] if values.get(m[1]) else "",
            text,
        )
        text = re.sub(
            r"{{([\w.]+)\|json}}",
            lambda m: json.dumps(values.get(m[1])),
            text,
        )
        text = re.sub(r"{{([\w.]+)}}", lambda m: str(values[m[1]]), text)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "settings.toml"
            file.write_text(text, encoding="utf-8")
            return node_settings.load(file)

    def template_values(self, **changes: Any) -> dict[str, Any]:
        """Returns the values of the template's variables."""
        return {
            "node": "side-1",
            "zone": "z1",
            "region": "r1",
            "ip": "10.0.0.1",
            "seeds": ["10.0.0.2:8166"],
            "portRange": [7000, 7010],
            "faultTolerance.machines": 1,
            "bounds.graceS": 6,
            **changes,
        }

    def test_machine_without_a_disk(self) -> None:
        settings = self.render(self.template_values())
        self.assertEqual(settings.data_dir, "")
        self.assertEqual(settings.max_worker_lease_ms, 10_000)
        self.assertEqual(settings.announce_interval_ms, 1500)
        self.assertFalse(settings.bootstrap)
        self.assertEqual(settings.replicas(), ("10.0.0.2:7000",))

    def test_machine_with_a_disk(self) -> None:
        settings = self.render(
            self.template_values(
                **{
                    "dataDir": "/data/x",
                    "limits.diskMb": 128,
                    "bootstrap": True,
                    "bounds.holdMaxMs": 12_000,
                    "heartbeatMs": 2500,
                    "listen.control": "10.0.0.1:8166",
                }
            )
        )
        self.assertTrue(settings.bootstrap)
        self.assertEqual(settings.max_worker_lease_ms, 12_000)
        self.assertEqual(settings.announce_interval_ms, 2500)
        self.assertEqual(
            (settings.data_dir, settings.disk_mb), ("/data/x", 128)
        )


async def answer_poll(_: web.Request) -> web.Response:
    """Answers a poll as the first incarnation, so that orders are sent."""
    return web.json_response({"clockMs": 1, "born": 1})


class WorkerStatusTest(unittest.IsolatedAsyncioTestCase):
    """Statuses of a worker's answers to orders."""

    async def outcome(self, status: int, body: dict[str, Any]) -> str:
        """Returns what the port makes of a worker's answer to a stop order."""

        async def answer(_: web.Request) -> web.Response:
            return web.json_response(body, status=status)

        address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=address,
            routes=[
                ("POST", wire.HOLD_PATH, answer_poll),
                ("POST", wire.STOP_PATH, answer),
            ],
        )
        await server.start()
        port = worker_http.HttpWorkerPortFactory().open(
            fake_worker.announcement(address=address)
        )
        try:
            await port.stop(wire.decode_task("5c0e.0.1.17"), 1, token=1)
        except worker_port.RejectedError as err:
            return err.reason
        except worker_port.NoAnswerError:
            return "unknown"
        except worker_port.IncarnationMismatchError:
            return "other incarnation"
        finally:
            await port.close()
            await server.stop()
        return "executed"

    async def test_status_that_is_no_rejection_leaves_the_outcome_open(
        self,
    ) -> None:
        """Guards against giving up an order that the worker may execute."""
        for status, body, outcome in (
            (200, {}, "executed"),
            (400, {}, "invalid"),
            (409, {"reason": "fence"}, "fence"),
            (409, {"reason": "other"}, "invalid"),
            (421, {}, "other incarnation"),
            (429, {}, "unhealthy"),
            (503, {}, "unhealthy"),
            (404, {}, "unknown"),
            (500, {}, "unknown"),
            (502, {}, "unknown"),
            (504, {}, "unknown"),
        ):
            with self.subTest(status=status, body=body):
                self.assertEqual(await self.outcome(status, body), outcome)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Whether an order can have reached the worker."""

    async def error(self, address: str) -> worker_port.NoAnswerError:
        """Returns the error of a stop order."""
        port = worker_http.HttpWorkerPortFactory().open(
            fake_worker.announcement(address=address)
        )
        try:
            with self.assertRaises(worker_port.NoAnswerError) as raised:
                await port.stop(wire.decode_task("5c0e.0.1.17"), 1, token=1)
        finally:
            await port.close()
        return raised.exception

    async def test_order_without_a_connection_was_not_delivered(self) -> None:
        error = await self.error(f"127.0.0.1:{replica_site.free_port()}")
        self.assertIsInstance(error, worker_port.NotDeliveredError)

    async def test_order_on_a_connection_that_breaks_may_be_executed(
        self,
    ) -> None:
        """Whether it breaks at the poll that precedes the order or then."""
        broken: list[str] = []

        async def break_connection(request: web.Request) -> web.Response:
            broken.append(request.path)
            if request.transport is not None:
                request.transport.close()
            return web.Response()

        for path in (wire.HOLD_PATH, wire.STOP_PATH):
            handlers = {
                wire.HOLD_PATH: answer_poll,
                path: break_connection,
            }
            with self.subTest(path):
                address = f"127.0.0.1:{replica_site.free_port()}"
                server = http_server.HttpServer(
                    address=address,
                    routes=[("POST", *route) for route in handlers.items()],
                )
                await server.start()
                try:
                    error = await self.error(address)
                finally:
                    await server.stop()
                self.assertEqual(broken.pop(), path)
                self.assertNotIsInstance(error, worker_port.NotDeliveredError)

    async def test_order_is_not_sent_to_another_address(self) -> None:
        """A refused connection there doesn't tell what the worker did."""
        elsewhere = f"http://127.0.0.1:{replica_site.free_port()}/"

        async def redirect(_: web.Request) -> web.Response:
            return web.Response(status=307, headers={"Location": elsewhere})

        address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=address,
            routes=[
                ("POST", wire.HOLD_PATH, answer_poll),
                ("POST", wire.STOP_PATH, redirect),
            ],
        )
        await server.start()
        try:
            error = await self.error(address)
        finally:
            await server.stop()
        self.assertIn("307", str(error))
        self.assertNotIsInstance(error, worker_port.NotDeliveredError)


class StartTest(unittest.TestCase):
    """Which modules a process imports at start."""

    def test_only_control_loads_the_code_of_a_replica(self) -> None:
        replica = "bamboorouter.coordination.log.replica"
        for module, imports_replica in (
            ("agent_node", False),
            ("entry_node", False),
            ("control_node", True),
        ):
            script = (
                f"import sys; sys.path.append('platform'); import {module};"
                f" print({replica!r} in sys.modules)"
            )
            result = subprocess.run(
                [sys.executable, "-c", script],
                cwd=platform_site.ROOT,
                capture_output=True,
                check=True,
                text=True,
            )
            self.assertEqual(
                result.stdout.strip(), str(imports_replica), module
            )


class WholePathCase(unittest.IsolatedAsyncioTestCase):
    """All roles in this process, with a configuration."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = platform_site.PlatformSite(path=pathlib.Path(folder.name))
        await self.site.start()
        self.addAsyncCleanup(self.site.close)
        await self.site.wait_until(self.submit_configuration)

    async def submit_configuration(self) -> bool:
        """Submits a configuration; returns whether it was accepted."""
        status, _ = await self.site.call_as_operator(
            "PUT", platform_site.configuration()
        )
        return status == 200


class NoLeaderTest(virtual_time.VirtualTimeCase, WholePathCase):
    """Jobs while no control replica runs."""

    async def asyncSetUp(self) -> None:
        self.patch_system_clock()
        await super().asyncSetUp()

    async def test_job_that_reaches_no_leader_is_soon_reported_as_not_run(
        self,
    ) -> None:
        """Guards against a refusal after which another entry can't be tried.

        That entry may reach a leader, but the caller needs time left for it.
        """
        ips = list(self.site.control)
        await asyncio.gather(*(self.site.control.pop(ip).stop() for ip in ips))
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _ = await self.site.call_as_caller("POST", "/forms/00dd", JOB)
        self.assertEqual(status, 503)
        self.assertLess(loop.time() - started, 2.0)
        await asyncio.gather(
            *(self.site.start_control(ip, bootstrap=False) for ip in ips)
        )
        statuses: list[int] = []

        async def answered() -> bool:
            status, _ = await self.site.call_as_caller("GET", "/forms/00dd")
            statuses.append(status)
            return status != 503

        await self.site.wait_until(answered)
        self.assertEqual(statuses[-1], 410)


class WholePathTest(WholePathCase):
    """Requests of callers, operators and a worker over HTTP on loopback."""

    async def job_done(self, job: str = "00ff") -> bool:
        _, body = await self.site.call_as_caller("GET", f"/forms/{job}")
        return bool(body == {"state": "done"})

    async def test_job_is_handed_in_run_and_shown_as_done(self) -> None:
        self.assertEqual(await self.site.announce(), 200)
        for entry in (1, 2, 1):
            status, _ = await self.site.call_as_caller(
                "POST", "/forms/00ff", JOB, entry=entry
            )
            self.assertEqual(status, 200)
        await self.site.wait_until(self.job_done)
        names = [name for name, _ in self.site.worker.started]
        self.assertEqual(len(names), 5)
        self.assertEqual(len(set(names)), 5)
        # The second step starts when the first is done.
        self.assertEqual({n.split(".")[2] for n in names[:3]}, {"0"})

    async def test_waiting_job_is_counted_and_can_be_cancelled(self) -> None:
        await self.site.call_as_caller("POST", "/forms/00aa", JOB)
        self.assertEqual(
            await self.site.call_as_caller("GET", "/forms/"),
            (200, {"pending": 1}),
        )
        status, _ = await self.site.call_as_caller(
            "DELETE", "/forms/00aa", entry=2
        )
        self.assertEqual(status, 200)
        self.assertEqual(
            await self.site.call_as_caller("GET", "/forms/00aa"),
            (200, {"state": "cancelled"}),
        )

    async def test_job_that_was_cancelled_before_it_arrived_never_runs(
        self,
    ) -> None:
        """Guards against a submission that a suspended entry hands in late."""
        self.assertEqual(await self.site.announce(), 200)
        statuses = [
            (
                await self.site.call_as_caller(
                    method, "/forms/00cc", body, entry=n
                )
            )[0]
            for method, body, n in (
                ("DELETE", None, 1),
                ("POST", JOB, 2),
                ("GET", None, 1),
            )
        ]
        self.assertEqual(statuses, [410, 429, 410])
        await self.site.call_as_caller("POST", "/forms/00ff", JOB)
        await self.site.wait_until(self.job_done)
        jobs = {name.split(".")[0] for name, _ in self.site.worker.started}
        self.assertEqual(jobs, {"00ff"})

    async def test_cancellation_outlives_the_leader_that_answered_it(
        self,
    ) -> None:
        """Guards against a late submission that reaches the next leader."""
        status, _ = await self.site.call_as_caller("DELETE", "/forms/00dd")
        self.assertEqual(status, 410)
        leaders = [
            ip
            for ip, role in self.site.control.items()
            if isinstance(role, control_node.ControlNode)
            and role.replica is not None
            and role.replica.replica is not None
            and role.replica.replica.lease_valid()
        ]
        self.assertEqual(len(leaders), 1)
        await self.site.control.pop(leaders[0]).stop()
        statuses: list[int] = []

        async def answered() -> bool:
            status, _ = await self.site.call_as_caller(
                "POST", "/forms/00dd", JOB, entry=2
            )
            statuses.append(status)
            return status not in (0, 503, 504)

        await self.site.wait_until(answered)
        self.assertEqual(statuses[-1], 429)
        status, _ = await self.site.call_as_caller("POST", "/forms/00ee", JOB)
        self.assertEqual(status, 200)

    async def test_unknown_paths_and_jobs(self) -> None:
        statuses = [
            (await self.site.call_as_caller(method, path, body))[0]
            for method, path, body in (
                ("GET", "/none/", None),
                ("POST", "/none/00aa", JOB),
                ("GET", "/forms/00bb", None),
                ("DELETE", "/forms/00bb", None),
                ("POST", "/forms/00bb", {"spec": 1}),
            )
        ]
        self.assertEqual(statuses, [404, 404, 410, 410, 400])

    async def test_configuration_is_read_back_at_every_replica(self) -> None:
        newer = platform_site.configuration(9)
        status, _ = await self.site.call_as_operator(
            "PUT", newer, ip="127.0.1.4"
        )
        self.assertEqual(status, 200)
        older = platform_site.configuration(3)
        self.assertEqual(
            (await self.site.call_as_operator("PUT", older))[0], 200
        )
        bad = platform_site.configuration(10, timeout_ms=0)
        self.assertEqual((await self.site.call_as_operator("PUT", bad))[0], 400)
        for number in (1, 2, 3, 4):
            answer = await self.site.call_as_operator(
                "GET", ip=f"127.0.1.{number}"
            )
            self.assertEqual(answer, (200, newer))

    async def test_replica_without_its_disk_is_replaced(self) -> None:
        """Guards against lost jobs and a group that needs manual repair."""
        await self.site.call_as_caller("POST", "/forms/00cc", JOB)
        for ip in ("127.0.1.2", "127.0.1.3"):
            await self.site.control.pop(ip).stop()
            for file in (self.site.path / ip).iterdir():
                file.unlink()
            await self.site.start_control(ip, bootstrap=False)
            await self.site.wait_until(self.group_repaired)
        self.assertEqual(
            await self.site.call_as_caller("GET", "/forms/00cc"),
            (200, {"state": "queued"}),
        )

    async def test_replica_takes_part_again_after_its_disk_failed(self) -> None:
        """Guards against a replica that never rejoins after a disk fault."""
        role = self.site.control["127.0.1.2"]
        assert isinstance(role, control_node.ControlNode)
        assert role.replica is not None
        failed = role.replica.replica
        assert failed is not None
        failed.engine.halt(OSError("disk full"))

        async def replica_reopened() -> bool:
            assert role.replica is not None
            opened = role.replica.replica
            return (
                opened is not None
                and opened is not failed
                and not opened.status().halted
                and bool(opened.leader_address())
            )

        await self.site.wait_until(replica_reopened)

    async def group_repaired(self) -> bool:
        """Returns whether the members are the running replicas.

        VOTERS of them must be voters. Counting members and voters isn't enough:
        the list from before a loss has as many of both, and a second loss
        before the repair would exceed the one that the group tolerates.
        """
        replicas = []
        for role in self.site.control.values():
            assert isinstance(role, control_node.ControlNode)
            assert role.replica is not None
            assert role.replica.replica is not None
            replicas.append(role.replica.replica)
        running = {replica.engine.id for replica in replicas}
        return any(
            replica.lease_valid()
            and {member.id for member in replica.members()} == running
            and sum(member.voter for member in replica.members()) == VOTERS
            for replica in replicas
        )


if __name__ == "__main__":
    unittest.main()
