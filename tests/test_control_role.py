"""Tests a control process with one replica on loopback and its real log.

Guards against accepted sheets and reservations that a restart loses, replies
with wrong routes or revisions, and a replica without a quorum that answers
instead of redirecting.
"""

import asyncio
import pathlib
import tempfile
from typing import Any
import unittest

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import options
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.roles import control
from tests import machine_commands as make
from tests import replica_site
from tests import test_request_keys

TIMEOUT_MS = 5000
SHEET = """revision,{revision}
kind,name,owner,urgency,place,processors,memory_mb,count,idempotent
service,web,guild,0,1,1,100,1,no
job,night,guild,5,2,1,100,1,
"""


class ControlRoleTest(unittest.IsolatedAsyncioTestCase):
    """Calls of operators, agents and entries over links."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.data_dir = pathlib.Path(folder.name)
        self.address = f"127.0.0.1:{replica_site.free_port()}"
        self.pushed: asyncio.Queue[messages.Message] = asyncio.Queue()
        await self.start((self.address,))

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.role.stop()

    async def start(self, bootstrap: tuple[str, ...]) -> None:
        self.role = control.ControlRole(
            process=options.ProcessOptions(
                name="control-1", zone="a", roles=("control",)
            ),
            settings=options.ControlOptions(
                listen=self.address,
                data_dir=str(self.data_dir),
                bootstrap=bootstrap,
            ),
        )
        await self.role.start()
        self.client = control_client.ControlClient(
            addresses=(self.address,),
            time=clock.SystemClock(),
            handler=self.receive_push,
        )

    async def receive_push(
        self, message: messages.Message, peer: object
    ) -> messages.Message | None:
        del peer
        self.pushed.put_nowait(message)
        return None

    async def call_operation(
        self, operation: str, operation_id: str = "", **arguments: Any
    ) -> messages.OperatorReply:
        call = messages.OperatorCall(
            operation=operation,
            operation_id=operation_id,
            operator="planner",
            arguments=arguments,
        )
        reply = await self.client.call(call, timeout_ms=TIMEOUT_MS)
        assert isinstance(reply, messages.OperatorReply), reply
        return reply

    async def send_heartbeat(
        self, sequence: int, *tasks: common.TaskState, **fields: Any
    ) -> messages.HeartbeatReply:
        values: dict[str, Any] = {
            "agent": "agent-1",
            "worker": "w1",
            "incarnation": 1,
            "sequence": sequence,
            "address": "127.0.0.1:1",
            "zone": "a",
            "rack": "r1",
            "capacity": make.capacity(),
            "connections": 64,
            "tasks": tasks,
            **fields,
        }
        reply = await self.client.call(
            messages.Heartbeat(**values), timeout_ms=TIMEOUT_MS
        )
        assert isinstance(reply, messages.HeartbeatReply)
        return reply

    async def poll_as_entry(
        self, revision: int = 0, epoch: int = 0, version: int = 0
    ) -> messages.EntryUpdate:
        reply = await self.client.call(
            messages.EntryPoll(
                entry="entry-1",
                incarnation=1,
                revision=revision,
                route_epoch=epoch,
                route_version=version,
            ),
            timeout_ms=TIMEOUT_MS,
        )
        assert isinstance(reply, messages.EntryUpdate)
        return reply

    async def reserve(self, key: str, attempt: str) -> str:
        reply = await self.client.call(
            messages.Reserve(
                key=key,
                fingerprint=1,
                attempt=attempt,
                service="web",
                entry="entry-1",
            ),
            timeout_ms=TIMEOUT_MS,
        )
        assert isinstance(reply, messages.ReservationReply)
        return reply.state

    async def test_accepted_sheet_is_in_force_and_survives_a_restart(
        self,
    ) -> None:
        text = SHEET.format(revision=1)
        first = await self.call_operation("submit_sheet", "s1", csv=text)
        self.assertTrue(first.ok, first.text)
        key = test_request_keys.key_at(clock.SystemClock().wall())
        self.assertEqual(await self.reserve(key, "a"), "granted")
        await self.client.close()
        await self.role.stop()
        await self.start(())
        repeated = await self.call_operation("submit_sheet", "s1", csv=text)
        self.assertEqual(repeated, first)
        other = await self.call_operation("submit_sheet", "s2", csv=text + "\n")
        self.assertEqual(other.code, error_texts.REVISION_CONFLICT)
        self.assertEqual(other.data["sheet_revision"], 1)
        self.assertEqual(await self.reserve(key, "b"), "in_progress")
        status = (await self.call_operation("status")).data
        self.assertEqual(status["sheet_revision"], 1)
        self.assertEqual(status["waiting_total"], 2)

    async def test_faulty_sheet_reports_all_faults_and_changes_nothing(
        self,
    ) -> None:
        text = SHEET.format(revision=1).replace("guild,0", "guild,x")
        reply = await self.call_operation(
            "submit_sheet", "s1", csv=text.replace("night,", "ni ght,")
        )
        fault_cells = {(f["row"], f["column"]) for f in reply.data["faults"]}
        self.assertEqual(fault_cells, {(3, "urgency"), (4, "name")})
        status = (await self.call_operation("status")).data
        self.assertEqual(status["config_revision"], 0)

    async def test_tasks_start_and_routes_follow_drains(self) -> None:
        await self.call_operation(
            "submit_sheet", "s1", csv=SHEET.format(revision=1)
        )
        starts: tuple[messages.StartOrder, ...] = ()
        sequence = 0
        async with asyncio.timeout(clock.seconds(TIMEOUT_MS)):
            while len(starts) < 2:
                sequence += 1
                starts = (await self.send_heartbeat(sequence)).starts
                await asyncio.sleep(0.05)
        running = tuple(
            common.TaskState(task=s.task, epoch=s.epoch, state="running")
            for s in starts
        )
        upstream = common.Upstream(id="web/0@1", service="web", url="u")
        await self.send_heartbeat(sequence + 1, *running, upstreams=(upstream,))
        update = await self.poll_as_entry()
        self.assertEqual([r.upstream for r in update.routes], ["web/0@1"])
        assert update.services is not None
        self.assertEqual([row.name for row in update.services], ["web"])
        await self.call_operation("drain", "d1", target="w1", on=True)
        reply = await self.send_heartbeat(
            sequence + 2, *running, upstreams=(upstream,)
        )
        self.assertTrue(reply.worker_drained)
        later = await self.poll_as_entry(
            update.revision, update.route_epoch, update.route_version
        )
        self.assertEqual([r.leaving for r in later.routes], [True])
        self.assertFalse(later.full)
        async with asyncio.timeout(clock.seconds(TIMEOUT_MS)):
            while not _has_leaving_route(await self.pushed.get()):
                pass
        explained = (await self.call_operation("explain", subject="web/0")).data
        self.assertTrue(explained["found"])

    async def test_status_names_the_processes_that_lag(self) -> None:
        reply = await self.call_operation(
            "submit_sheet", "s1", csv=SHEET.format(revision=1)
        )
        revision = reply.data["config_revision"]
        await self.send_heartbeat(1)
        await self.poll_as_entry()
        before = (await self.call_operation("status")).data
        self.assertEqual(before["lagging"], ["agent-1", "entry-1"])
        self.assertEqual(before["lowest_applied"], 0)
        await self.send_heartbeat(2, applied_revision=revision)
        await self.poll_as_entry(revision)
        after = (await self.call_operation("status")).data
        self.assertEqual(after["lagging"], [])
        self.assertEqual(after["lowest_applied"], revision)

    async def test_replica_without_a_quorum_redirects(self) -> None:
        await self.client.close()
        await self.role.stop()
        # Starts without data as a first member of three; the others don't run.
        for file in self.data_dir.iterdir():
            file.unlink()
        unused = f"127.0.0.1:{replica_site.free_port()}"
        await self.start((self.address, unused, "127.0.0.1:1"))
        assert self.role.instance is not None
        reply = await self.role.instance.handler.handle(
            messages.EntryPoll(
                entry="e",
                incarnation=1,
                revision=0,
                route_epoch=0,
                route_version=0,
            ),
            None,  # type: ignore[arg-type]
        )
        self.assertEqual(reply, messages.Redirect(leader=""))
        self.assertFalse(self.role.ready())


def _has_leaving_route(message: messages.Message) -> bool:
    return isinstance(message, messages.EntryUpdate) and any(
        route.leaving for route in message.routes
    )
