"""Demo: runs both sample sites on 127.0.0.1 and checks their behavior.

For each site the demo starts control replicas, entries, and agents with
simulated workers. It submits the sample sheet with the command-line tool, sends
requests while batch tasks run, and prints which tasks and requests ran, waited
or were refused. It also queries and verifies the account, the record of all
decisions and requests in the replicated log. The exit status is 0 only if all
checks pass.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Any
from typing import Final

import aiohttp

from bamboorouter.protocol import sheet
from devtools import demo_callers
from devtools import journal
from devtools import site

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
COMMAND_TIMEOUT_S: Final = 40
SERVICE_START_TIMEOUT_S: Final = 15
STEADY_LOAD_S: Final = 6.0
STEADY_CALLERS: Final = 8
RESEND_COUNT: Final = 20
BURST_REQUESTS: Final = 1400
BURST_SERVICE_TIME_MS: Final = 300
BATCH_TIMEOUT_S: Final = 60
RECORD_DELIVERY_S: Final = 3.0
# Maximum time until a sheet is in force (section 1.4 of the design page).
IN_FORCE_TIMEOUT_S: Final = 13.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Parameters of the demo for one site.

    Attributes:
        name: Name of the site; its sheet is samples/<name>.csv.
        shape: Size and timing of the site.
        urgent: The more urgent service; not idempotent, so that its requests
            need idempotency keys.
        quick: Idempotent service; its requests are sent without keys.
        deadline_ms: Deadline of the urgent service, in ms.
        first: Job of the sheet that is more urgent than `second`.
        second: Another job of the sheet.
    """

    name: str
    shape: site.SiteShape
    urgent: str
    quick: str
    deadline_ms: int
    first: str
    second: str


PLANS: Final = (
    Plan(
        name="guild",
        shape=site.GUILD,
        urgent="entries",
        quick="programme",
        deadline_ms=3000,
        first="receipts",
        second="archive",
    ),
    Plan(
        name="krystallverket",
        shape=site.KRYSTALLVERKET,
        urgent="prism",
        quick="quotes",
        deadline_ms=2000,
        first="match-urgent",
        second="wear-model",
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """Result of a run of the command-line tool.

    Attributes:
        code: Exit status.
        output: Standard output.
        error: Standard error.
    """

    code: int
    output: str
    error: str

    @property
    def data(self) -> dict[str, Any]:
        """Data of the JSON output; empty if the output isn't JSON."""
        try:
            reply = json.loads(self.output)
        except ValueError:
            return {}
        return dict(reply.get("data", reply))


class Demo:
    """Runs the demo at one site.

    Attributes:
        plan: Parameters of the demo.
        site: The running site.
        callers: Callers of the site's services.
        failed: Names of the failed checks.
    """

    def __init__(
        self,
        *,
        plan: Plan,
        running: site.Site,
        callers: demo_callers.Callers,
    ) -> None:
        self.plan = plan
        self.site = running
        self.callers = callers
        self.failed: list[str] = []
        self._sheet = ROOT / "samples" / f"{plan.name}.csv"
        self._entries = tuple(
            running.address(f"entry-{n}", "entry.operator")
            for n in range(1, plan.shape.entries + 1)
        )

    async def run(self) -> list[str]:
        """Runs all steps; returns the names of the failed checks."""
        await self._submit()
        await self._print_status()
        await self._submit_invalid()
        if await self._services_respond():
            sent = await self._send_requests()
            await self._resend_requests(sent)
            sent += await self._burst()
            await self._check_request_account(sent)
        await self._wait_for_batch()
        self._check_journal()
        await self._check_account()
        return self.failed

    def check(self, name: str, holds: bool) -> None:
        """Prints the result of a check and records a failure."""
        print(f"  {'ok    ' if holds else 'FAILED'} {name}", flush=True)
        if not holds:
            self.failed.append(f"{self.plan.name}: {name}")

    async def run_tool(
        self, *arguments: str, show: bool = True
    ) -> CommandResult:
        """Runs the command-line tool."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboorouter.cli", *arguments),
            cwd=ROOT,
            env={
                **os.environ,
                "BAMBOOROUTER_ENTRY": ",".join(self._entries),
                "BAMBOOROUTER_OPERATOR": "demo",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, error = await process.communicate()
        except TimeoutError:
            process.kill()
            output, error = await process.communicate()
        result = CommandResult(
            code=process.returncode or 0,
            output=output.decode(),
            error=error.decode(),
        )
        if show:
            line = " ".join(arguments).replace(f"{ROOT}/", "")
            print(f"$ bamboorouter {line}")
            for text in (result.output + result.error).splitlines():
                print(f"  {text}")
        return result

    async def _submit(self) -> None:
        started = time.monotonic()
        done = await self.run_tool(
            "sheet", "submit", str(self._sheet), "--wait"
        )
        took_s = time.monotonic() - started
        self.check(
            f"the sheet is in force everywhere after {took_s:.1f} s",
            done.code == 0 and took_s < IN_FORCE_TIMEOUT_S,
        )
        again = await self.run_tool("sheet", "submit", str(self._sheet))
        self.check("a resend gets the first answer", again.code == 0)

    async def _print_status(self) -> None:
        """Prints the number of tasks by state and why tasks wait."""
        result = await self.run_tool("status", "--json", show=False)
        print("$ bamboorouter status (shortened)")
        print(f"  tasks: {result.data.get('tasks')}")
        reasons = collections.Counter(
            (_row_of(each["task"]), each["reason"])
            for each in result.data.get("waiting", ())
        )
        for (row, reason), _ in reasons.most_common():
            print(f"  tasks of {row} wait: {reason}")
        self.check("the status can be read", result.code == 0)

    async def _submit_invalid(self) -> None:
        """Submits a conflicting sheet, an invalid one and an oversized job."""
        text = self._sheet.read_text(encoding="utf-8")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "other.csv"
            path.write_text(text.replace(",9,", ",8,"), encoding="utf-8")
            other = await self.run_tool("sheet", "submit", str(path))
            self.check(
                "a changed sheet with the same revision is refused",
                other.code == 2,
            )
            path.write_text(text.replace("job,", "jbo,", 1), encoding="utf-8")
            faulty = await self.run_tool("sheet", "check", str(path))
            self.check(
                "an invalid row is reported",
                faulty.code == 2 and "column kind" in faulty.error,
            )
        large = await self.run_tool(
            *("job", "submit", "too-large", "--owner", "demo"),
            *("--processors", "500"),
        )
        self.check("a job larger than any worker is refused", large.code == 2)

    async def _services_respond(self) -> bool:
        served = [
            await self.callers.wait_until_served(
                service, SERVICE_START_TIMEOUT_S
            )
            for service in (self.plan.urgent, self.plan.quick)
        ]
        self.check("both services answer", all(served))
        return all(served)

    async def _send_requests(self) -> list[demo_callers.SentRequest]:
        """Sends requests to both services while batch tasks run."""
        urgent, quick = await asyncio.gather(
            self.callers.steady(
                self.plan.urgent,
                keyed=True,
                callers=STEADY_CALLERS,
                seconds=STEADY_LOAD_S,
            ),
            self.callers.steady(
                self.plan.quick,
                keyed=False,
                callers=STEADY_CALLERS,
                seconds=STEADY_LOAD_S,
            ),
        )
        for service, sent in (
            (self.plan.urgent, urgent),
            (self.plan.quick, quick),
        ):
            p50 = demo_callers.quantile_ms(sent, 0.5)
            p99 = demo_callers.quantile_ms(sent, 0.99)
            print(
                f"requests to {service}: {demo_callers.outcomes_text(sent)};"
                f" p50 {p50:.0f} ms, p99 {p99:.0f} ms"
            )
        both = urgent + quick
        self.check("each answer belongs to its request", _all_matching(both))
        self.check(
            "no request of the steady load fails or is lost",
            all(each.outcome == "completed" for each in both),
        )
        self.check(
            "p99 of the urgent service is below its deadline",
            demo_callers.quantile_ms(urgent, 0.99) < self.plan.deadline_ms,
        )
        return urgent

    async def _resend_requests(
        self, sent: list[demo_callers.SentRequest]
    ) -> None:
        first = sent[:RESEND_COUNT]
        again = await self.callers.resend(self.plan.urgent, first)
        same = all(
            (one.status, one.answer) == (two.status, two.answer)
            for one, two in zip(first, again, strict=True)
        )
        self.check(f"{len(first)} resends get their first answers", same)
        unkeyed = await self.callers.send(self.plan.urgent)
        unknown = await self.callers.send("no-such-service")
        print(f"refused: {demo_callers.outcomes_text([unkeyed, unknown])}")
        self.check(
            "requests without key or service are not run",
            (unkeyed.outcome, unknown.outcome) == ("not_run", "not_run"),
        )

    async def _burst(self) -> list[demo_callers.SentRequest]:
        sent = await self.callers.burst(
            self.plan.quick, BURST_REQUESTS, BURST_SERVICE_TIME_MS
        )
        print(f"burst of {BURST_REQUESTS}: {demo_callers.outcomes_text(sent)}")
        self.check(
            "a burst is answered or refused, never lost",
            _all_matching(sent)
            and all(each.outcome in ("completed", "not_run") for each in sent),
        )
        return sent

    async def _check_request_account(
        self, sent: list[demo_callers.SentRequest]
    ) -> None:
        """Looks up a keyed request and a refused request in the account."""
        # Entries send their request records about once per second.
        await asyncio.sleep(RECORD_DELIVERY_S)
        keyed = next(each for each in sent if each.key)
        result = await self.run_tool("explain", keyed.key)
        self.check(
            "the account holds the outcome of a keyed request",
            "outcome completed" in result.output,
        )
        refused = [each for each in sent if each.outcome == "not_run"]
        if refused:
            result = await self.run_tool("explain", refused[0].request_id)
            self.check(
                "the account holds a refused request and its reason",
                refused[0].code in result.output,
            )

    async def _wait_for_batch(self) -> None:
        """Waits for all batch tasks of the sheet and prints their delays."""
        task_counts = {
            row.name: row.count
            for row in sheet.parse_sheet(self._sheet.read_bytes()).rows
            if row.kind == "job"
        }
        deadline = time.monotonic() + BATCH_TIMEOUT_S
        while True:
            done = self._finished_tasks()
            if all(done[name] >= count for name, count in task_counts.items()):
                break
            if time.monotonic() > deadline:
                break
            await asyncio.sleep(0.2)
        await self._print_status()
        first_start = min(
            (run.start_ms for run in self.site.runs()), default=0.0
        )
        for name, count in task_counts.items():
            runs = [r for r in self.site.runs() if _row_of(r.task) == name]
            waited = max((r.start_ms for r in runs), default=0) - first_start
            print(
                f"job {name}: {done[name]} of {count} tasks finished, the"
                f" last one started {waited / 1000:.1f} s after the first"
                " task"
            )
        self.check("every batch task finished once", dict(done) == task_counts)

    def _finished_tasks(self) -> collections.Counter[str]:
        return collections.Counter(
            _row_of(run.task)
            for run in self.site.runs()
            if run.state == "finished"
        )

    def _check_journal(self) -> None:
        """Checks the workers' actions in the journal."""
        records, runs = self.site.records(), self.site.runs()
        self.check(
            "no task ran on two workers at the same time",
            not journal.overlaps(runs),
        )
        self.check(
            "evicted work resumed exactly once",
            not journal.resume_violations(runs),
        )
        self.check(
            "no VM was overcommitted",
            not journal.capacity_violations(records, self.site.capacity()),
        )
        self.check(
            "no keyed request ran twice", not journal.repeated_requests(records)
        )

    async def _check_account(self) -> None:
        """Explains the order of two jobs and verifies each replica's files."""
        answer = await self.run_tool(
            *("explain", f"{self.plan.first}/0"),
            *("--before", f"{self.plan.second}/0"),
        )
        self.check(
            "the account explains the order",
            answer.code == 0 and "decided first" in answer.output,
        )
        for number in range(1, self.plan.shape.controls + 1):
            folder = self.site.processes[f"control-{number}"].folder / "data"
            result = await self.run_tool(
                "account", "verify", str(folder), show=number == 1
            )
            self.check(
                f"the account of control-{number} is intact", result.code == 0
            )


def _row_of(task: str) -> str:
    return task.partition("/")[0]


def _all_matching(sent: list[demo_callers.SentRequest]) -> bool:
    return all(each.answer_matches for each in sent)


async def run_site(plan: Plan) -> list[str]:
    """Runs the demo at one site; returns the names of the failed checks."""
    started = time.monotonic()
    vm = plan.shape.vms[0]
    print(
        f"== {plan.name}: {plan.shape.controls} control replicas,"
        f" {plan.shape.entries} entries, {len(plan.shape.vms)} workers of"
        f" {vm.processors} processors and {vm.memory_mb} MB",
        flush=True,
    )
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        site.Site(shape=plan.shape, proxied=False) as running,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        await running.wait_ready()
        print(f"ready after {time.monotonic() - started:.1f} s")
        callers = demo_callers.Callers(
            entries=tuple(
                running.address(f"entry-{n}", "entry.listen")
                for n in range(1, plan.shape.entries + 1)
            ),
            session=session,
        )
        demo = Demo(plan=plan, running=running, callers=callers)
        failed = await demo.run()
        if failed:
            print(running.tails(8))
    print(f"== {plan.name}: {time.monotonic() - started:.1f} s")
    return failed


async def run(names: list[str]) -> int:
    """Runs the sites one after the other; returns the exit status."""
    failed: list[str] = []
    for plan in PLANS:
        if not names or plan.name in names:
            failed += await run_site(plan)
    for name in failed:
        print(f"FAILED: {name}")
    print("demo: all checks hold" if not failed else "demo: failed")
    return 1 if failed else 0


def main() -> int:
    """Parses the command line and runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="*", help="sites to run; default: all")
    return asyncio.run(run(parser.parse_args().sites))


if __name__ == "__main__":
    sys.exit(main())
