"""Benchmarks the product's policies against plain ones under load and faults.

Each combination of site, case and seed runs twice, with the product's policies
and with the plain baseline, with the same sheet and the same request arrivals.
A separate load program sends the requests; the results of batch tasks are taken
from the workers' journal. All load ends after `LOAD_S`.

The column "kept" contains the throughput of quick requests in time and of batch
tasks, relative to the case `quiet` of the same policies, site and seed. Quick
requests are those to services that aren't overloaded.

If the environment variable BENCH_KEEP names a folder, the journal and the logs
of the last run are copied to it.
"""

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import Any
from typing import Final
from typing import Literal

import aiohttp
import msgspec

from bamboorouter import client
from bamboorouter.protocol import operator_http
from devtools import demo_callers
from devtools import load_program
from devtools import site

LOAD_S: Final = 13.0
# Start and end of the measured period, in s since the start of the load.
MEASURED_PERIOD_S: Final = (3.0, 13.0)
SERVICE_START_TIMEOUT_S: Final = 15.0
# The services run for this time before the load starts. It is longer than the
# delay of the usage reports, since at a real site usage data of a service is
# missing only on the first day.
LEAD_TIME_S: Final = 6.0
DEADLINE_MS: Final = 1500
SERVICE_COUNT: Final = 8
SERVICE_COMMAND: Final = "serve time=50ms parallel=2"
QUIET_RATE: Final = 60.0
# A service can answer 8 * 2 / 50 ms = 320 requests per second.
FLOOD_RATE: Final = 640.0
SERVICES: Final = ("forms", "programme", "lookups")

Policies = Literal["product", "plain"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SteadyJob:
    """A batch job that is submitted at a constant rate in all cases.

    Attributes:
        name: Prefix of the job names.
        owner: Owning team.
        urgency: Urgency of the job.
        units: Processors and memory of a task, in units of the site.
        run_s: Run time of a task in s.
        slots: Number of concurrent tasks if none has to wait.
    """

    name: str
    owner: str
    urgency: int
    units: int
    run_s: int
    slots: int

    def command(self, unit: int) -> str:
        """Returns a command that uses 80 % of the declared processors."""
        return f"run {self.run_s}s use={800 * self.units * unit}"


STEADY: Final = (
    SteadyJob(
        name="matching",
        owner="matching",
        urgency=7,
        units=2,
        run_s=3,
        slots=36,
    ),
    SteadyJob(
        name="plans", owner="workshop", urgency=8, units=1, run_s=2, slots=12
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BenchSite:
    """A site, with the units for the sizes of its tasks.

    Attributes:
        name: Name of the site.
        shape: Size and timing of the site.
    """

    name: str
    shape: site.SiteShape

    @property
    def unit(self) -> int:
        """Processors per unit: a sixteenth of a VM's."""
        return self.shape.vms[0].processors // 16

    @property
    def memory_mb(self) -> int:
        """Memory per unit in MB: a twentieth of a VM's."""
        return self.shape.vms[0].memory_mb // 20


BENCH_SITES: Final = (
    BenchSite(name="guild", shape=site.GUILD),
    BenchSite(name="krystallverket", shape=site.KRYSTALLVERKET),
)


class RunResult(msgspec.Struct, kw_only=True):
    """Results of one run.

    Attributes:
        place: Name of the site.
        case: Name of the case.
        seed: Seed of the request arrivals.
        policies: "product" or "plain".
        requests: Request results by service.
        finished: Batch tasks finished per minute in the measured period.
        evictions: Number of evictions since the start of the load.
        lost_s: Progress since the last checkpoint that evictions and stops
            lost, in s.
        core_percent: CPU time of the load program in percent of one core.
        late_starts: Number of requests that the load program sent late.
        notes: Further results of the case.
    """

    place: str
    case: str
    seed: int
    policies: str
    requests: dict[str, load_program.StreamResult]
    finished: float
    evictions: int
    lost_s: float
    core_percent: float
    late_starts: int
    notes: str = ""


class Run:
    """A running site during one case.

    Attributes:
        bench_site: The site and its units.
        running: The running site.
        operator: Client for operator calls.
        start_at: Monotonic time at which the load starts, in s.
        notes: Further results of the case.
    """

    def __init__(self, *, bench_site: BenchSite, running: site.Site) -> None:
        self.bench_site = bench_site
        self.running = running
        self.operator = client.OperatorClient(
            entries=self._addresses("entry.operator"), operator="bench"
        )
        self.start_at = 0.0
        self.notes: list[str] = []

    def _addresses(self, kind: str) -> tuple[str, ...]:
        return tuple(
            self.running.address(f"entry-{n}", kind)
            for n in range(1, self.running.shape.entries + 1)
        )

    async def wait_until(self, at_s: float) -> None:
        """Waits until `at_s` seconds after the start of the load."""
        await asyncio.sleep(max(self.start_at + at_s - time.monotonic(), 0))

    async def submit_job(self, name: str, **columns: object) -> None:
        """Submits a batch job; notes a refusal."""
        row = {
            "name": name,
            "place": "1",
            "accelerators": "0",
            "share": "2",
            **{key: str(value) for key, value in columns.items()},
        }
        reply = await self.operator.call("submit_job", {"row": row})
        if not reply.ok:
            self.notes.append(f"{name}: {reply.code}")

    async def submit_sheet(self) -> None:
        """Submits the sheet with the services and the first batch jobs."""
        reply = await self.operator.call(
            "submit_sheet", {"csv": _sheet(self.bench_site)}
        )
        if not reply.ok:
            raise site.SiteError(f"sheet: {reply.text}")

    async def wait_until_served(self) -> None:
        """Waits until all services respond."""
        async with aiohttp.ClientSession() as session:
            callers = demo_callers.Callers(
                entries=self._addresses("entry.listen"), session=session
            )
            for service in SERVICES:
                if not await callers.wait_until_served(
                    service, SERVICE_START_TIMEOUT_S
                ):
                    raise site.SiteError(f"{service} doesn't respond")

    async def load(
        self, seed: int, rates: dict[str, list[load_program.Phase]]
    ) -> load_program.LoadResult:
        """Runs the load program and returns its result."""
        spec = load_program.LoadSpec(
            entries=self._addresses("entry.listen"),
            seed=seed,
            start_at=self.start_at,
            streams=tuple(
                load_program.StreamSpec(
                    service=service,
                    deadline_ms=DEADLINE_MS,
                    phases=tuple(phases),
                    measured=MEASURED_PERIOD_S,
                )
                for service, phases in rates.items()
            ),
        )
        spec_path = self.running.folder / "load.json"
        result_path = self.running.folder / "load-result.json"
        spec_path.write_bytes(msgspec.json.encode(spec))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "devtools.load_program"),
            *(str(spec_path), str(result_path)),
            cwd=site.ROOT,
        )
        try:
            async with asyncio.timeout(LOAD_S + 20):
                await process.wait()
        except TimeoutError:
            process.kill()
            raise
        return msgspec.json.decode(
            result_path.read_bytes(), type=load_program.LoadResult
        )


def _sheet(bench_site: BenchSite) -> str:
    """Returns a sheet with three services and the first batch jobs."""
    unit, memory = bench_site.unit, bench_site.memory_mb
    lines = [
        "revision,1",
        "kind,name,owner,urgency,place,processors,memory_mb,accelerators,"
        "run_time_s,count,idempotent,deadline_ms,share,command",
    ]
    lines += [
        f"service,{name},{team},{urgency},1,{unit},{memory},0,0,"
        f"{SERVICE_COUNT},yes,{DEADLINE_MS},4,{SERVICE_COMMAND}"
        for name, team, urgency in (
            ("forms", "desk", 1),
            ("programme", "public", 1),
            ("lookups", "desk", 9),
        )
    ]
    lines += [
        f"job,{name},{job.owner},{job.urgency},1,{job.units * unit},"
        f"{job.units * memory},0,{job.run_s},{job.slots},,,2,"
        f"{job.command(unit)}"
        for name, job in ((f"{job.name}-0", job) for job in STEADY)
    ]
    return "\n".join([*lines, ""])


async def _submit_steady_jobs(run: Run) -> None:
    """Submits a job of each kind of `STEADY` per second.

    The tasks use about three quarters of the slots that the services leave
    free, and no more processors than they declare.
    """
    for second in range(int(LOAD_S)):
        await run.wait_until(second)
        for job in STEADY:
            await run.submit_job(
                f"{job.name}-{second + 1}",
                owner=job.owner,
                urgency=job.urgency,
                processors=job.units * run.bench_site.unit,
                memory_mb=job.units * run.bench_site.memory_mb,
                run_time_s=job.run_s,
                count=job.slots // job.run_s,
                command=job.command(run.bench_site.unit),
            )


Action = Callable[[Run], Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """A benchmark case.

    Attributes:
        name: Short name.
        overloaded: Services that receive the overload; excluded from the quick
            requests.
        overload_cause: "requests", "batch" or "" for no overload.
        action: Faults or batch load during the case; None for neither.
    """

    name: str
    overloaded: tuple[str, ...] = ()
    overload_cause: str = ""
    action: Action | None = None

    def rates(self) -> dict[str, list[load_program.Phase]]:
        """Returns the load phases by service."""
        quiet = load_program.Phase(start_s=0, end_s=LOAD_S, rate=QUIET_RATE)
        flood = load_program.Phase(start_s=2, end_s=LOAD_S, rate=FLOOD_RATE)
        return {
            service: [quiet, flood] if service in self.overloaded else [quiet]
            for service in SERVICES
        }


async def _batch_waves(run: Run) -> None:
    """Submits two waves of tasks with wrong declared sizes.

    The "burst" tasks use ten times the declared processors and slow services
    down. The "wide" tasks declare ten times the resources that they use.
    """
    unit, memory = run.bench_site.unit, run.bench_site.memory_mb
    for number, at_s in enumerate((1.0, 6.0), 1):
        await run.wait_until(at_s)
        await run.submit_job(
            f"burst-{number}",
            owner="research",
            urgency=6,
            processors=unit,
            memory_mb=memory,
            run_time_s=3,
            count=80,
            command=f"run 3s use={10_000 * unit} noise=0.5",
        )
        await run.submit_job(
            f"wide-{number}",
            owner="research",
            urgency=6,
            processors=10 * unit,
            memory_mb=10 * memory,
            run_time_s=3,
            count=80,
            command=f"run 3s use={1000 * unit} memory={memory}",
        )


async def _failures(run: Run) -> None:
    """Makes one worker fail all batch tasks and one job fail everywhere."""
    url = f"http://{run.running.address('worker-1', 'worker')}/faults"
    async with aiohttp.ClientSession() as session:
        await session.post(url, json={"fail_all": True})
    await run.wait_until(1.0)
    await run.submit_job(
        "broken",
        owner="research",
        urgency=6,
        processors=run.bench_site.unit,
        memory_mb=run.bench_site.memory_mb,
        run_time_s=3,
        count=200,
        command="fail 200ms",
    )
    await run.wait_until(LOAD_S)
    ended = [r for r in run.running.records() if r["event"] == "ended"]
    failed = [r for r in ended if r["state"] == "failed"]
    broken = sum(r["task"].startswith("broken/") for r in failed)
    run.notes.append(
        f"{len(failed) - broken} failures on the worker that fails"
        f" everything, {broken} of the job that fails everywhere"
    )


async def _zone_loss(run: Run) -> None:
    """Simulates a crash of all VMs and the control replica of zone b."""
    await run.wait_until(5.0)
    lost = [
        n for n, vm in enumerate(run.bench_site.shape.vms, 1) if vm.zone == "b"
    ]
    await asyncio.gather(
        *(run.running.kill_vm(number) for number in lost),
        run.running.kill("control-2"),
    )


async def _cancellations(run: Run) -> None:
    """Submits 30 jobs at 3 s and cancels them at 7 s."""
    names = [f"brief-{number}" for number in range(30)]
    await run.wait_until(3.0)
    for name in names:
        await run.submit_job(
            name,
            owner="research",
            urgency=6,
            processors=run.bench_site.unit,
            memory_mb=run.bench_site.memory_mb,
            run_time_s=3,
            count=10,
            command="run 3s",
        )
    await run.wait_until(7.0)
    started = time.monotonic()
    replies = await asyncio.gather(
        *(run.operator.call("cancel_job", {"job": name}) for name in names)
    )
    done = sum(reply.ok for reply in replies)
    took_ms = 1000 * (time.monotonic() - started)
    run.notes.append(f"{done} of {len(names)} cancelled in {took_ms:.0f} ms")


CASES: Final = (
    Case(name="quiet"),
    Case(
        name="request-flood", overloaded=("forms",), overload_cause="requests"
    ),
    Case(name="batch-flood", overload_cause="batch", action=_batch_waves),
    Case(name="failures", action=_failures),
    Case(name="zone-loss", action=_zone_loss),
    Case(
        name="least-urgent-flood",
        overloaded=("lookups",),
        overload_cause="requests",
        action=_cancellations,
    ),
)


async def measure(
    bench_site: BenchSite, case: Case, seed: int, policies: Policies
) -> RunResult:
    """Runs a case on a site and returns the results."""
    shape = dataclasses.replace(bench_site.shape, policies=policies)
    async with site.Site(shape=shape, proxied=False) as running:
        await running.wait_ready()
        run = Run(bench_site=bench_site, running=running)
        await run.submit_sheet()
        await run.wait_until_served()
        run.start_at = time.monotonic() + LEAD_TIME_S
        steady = asyncio.create_task(_submit_steady_jobs(run))
        action = asyncio.create_task(_run_action(case, run))
        result = await run.load(seed, case.rates())
        await asyncio.gather(steady, action)
        run.notes.append(await _waiting_reasons(run))
        finished, evictions, lost_s = _batch_results(run)
        folder = os.environ.get("BENCH_KEEP")
        if folder:
            _copy_logs(running, pathlib.Path(folder))
    return RunResult(
        place=bench_site.name,
        case=case.name,
        seed=seed,
        policies=policies,
        requests={stream.service: stream for stream in result.streams},
        finished=finished,
        evictions=evictions,
        lost_s=lost_s,
        core_percent=result.core_percent,
        late_starts=result.late_starts,
        notes="; ".join(run.notes),
    )


async def _waiting_reasons(run: Run) -> str:
    """Returns the number of tasks that wait now, by reason, as text."""
    reply = await run.operator.call("status", {})
    status = operator_http.read_status(reply.data)
    reasons = collections.Counter(
        f"{item.task.partition('-')[0]}: {item.reason}"
        for item in status.waiting
    )
    counts = [f"{count} {text}" for text, count in reasons.most_common()]
    return f"{status.waiting_total} tasks wait; " + ", ".join(counts)


async def _run_action(case: Case, run: Run) -> None:
    if case.action is not None:
        await case.action(run)


def _copy_logs(running: site.Site, folder: pathlib.Path) -> None:
    """Copies the journal and the logs to a folder, for debugging."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "journal.jsonl").write_bytes(running.journal_path.read_bytes())
    for name, managed in running.processes.items():
        if managed.log.exists():
            (folder / f"{name}.txt").write_bytes(managed.log.read_bytes())


def _batch_results(run: Run) -> tuple[float, int, float]:
    """Returns batch results.

    Returns:
        Finished tasks per minute, evictions, and lost progress in s.
    """
    begin, end = (1000 * (run.start_at + at_s) for at_s in MEASURED_PERIOD_S)
    ended = [
        record
        for record in run.running.records()
        if record["event"] == "ended"
        and 1000 * run.start_at <= record["mono_ms"] < end
        and record["task"].partition("/")[0] not in SERVICES
    ]
    finished = sum(
        record["state"] == "finished" and record["mono_ms"] >= begin
        for record in ended
    )
    interrupted = [r for r in ended if r["state"] in ("evicted", "stopped")]
    evictions = sum(record["state"] == "evicted" for record in ended)
    lost_ms = sum(_lost_ms(record) for record in interrupted)
    return 60_000 * finished / (end - begin), evictions, lost_ms / 1000


def _lost_ms(record: dict[str, Any]) -> int:
    saved = record["checkpoint"].rpartition(":")[2]
    return int(record["progress_ms"]) - int(saved or 0)


def _aggregate(results: list[load_program.StreamResult]) -> dict[str, Any]:
    """Returns the aggregated counts and latency percentiles of streams."""
    answered = load_program.new_histogram()
    refusals = load_program.new_histogram()
    for result in results:
        answered.add(load_program.decode_histogram(result.answered))
        refusals.add(load_program.decode_histogram(result.refusals))
    sent = max(sum(result.sent for result in results), 1)
    seconds = MEASURED_PERIOD_S[1] - MEASURED_PERIOD_S[0]

    def ms(percentile: float, times: Any = answered) -> float:
        return float(times.get_value_at_percentile(percentile)) / 1000

    return {
        "p50": ms(50),
        "p99": ms(99),
        "p999": ms(99.9),
        "in_time": sum(r.in_time for r in results),
        "in_time_rate": sum(r.in_time for r in results) / seconds,
        "in_time_fraction": sum(r.in_time for r in results) / sent,
        "refused_fraction": sum(r.refused for r in results) / sent,
        "lost_fraction": sum(r.late + r.lost for r in results) / sent,
        "refusal_p99": ms(99, refusals) if refusals.total_count else None,
    }


HEADER: Final = (
    "| case | seed | policies | quick requests: p50 / p99 / p99.9 ms"
    " | in time | refused | late or lost | refusal p99 ms"
    " | requests to overloaded services: in time per second / refused /"
    " late or lost"
    " | batch tasks per minute | evictions | work lost s"
    " | kept: quick / batch | notes |"
)


def _row(run_result: RunResult, quiet: RunResult | None) -> str:
    case = next(case for case in CASES if case.name == run_result.case)
    quick = _aggregate(
        [r for n, r in run_result.requests.items() if n not in case.overloaded]
    )
    flood = _aggregate(
        [r for n, r in run_result.requests.items() if n in case.overloaded]
    )
    all_requests = _aggregate(list(run_result.requests.values()))
    kept = "–"
    if quiet is not None:
        base = _aggregate(
            [r for n, r in quiet.requests.items() if n not in case.overloaded]
        )
        kept = (
            f"{quick['in_time_rate'] / max(base['in_time_rate'], 0.1):.0%} /"
            f" {run_result.finished / max(quiet.finished, 0.1):.0%}"
        )
    refusal = all_requests["refusal_p99"]
    cells = (
        run_result.case,
        str(run_result.seed),
        run_result.policies,
        f"{quick['p50']:.0f} / {quick['p99']:.0f} / {quick['p999']:.0f}",
        f"{quick['in_time_fraction']:.1%}",
        f"{quick['refused_fraction']:.1%}",
        f"{quick['lost_fraction']:.1%}",
        "–" if refusal is None else f"{refusal:.0f}",
        (
            f"{flood['in_time_rate']:.0f} / {flood['refused_fraction']:.0%} /"
            f" {flood['lost_fraction']:.0%}"
            if case.overloaded
            else "–"
        ),
        f"{run_result.finished:.0f}",
        str(run_result.evictions),
        f"{run_result.lost_s:.1f}",
        kept,
        run_result.notes,
    )
    return "| " + " | ".join(cells) + " |"


async def run_all(args: argparse.Namespace) -> list[RunResult]:
    """Runs the selected cases, printing a table row for each run."""
    results: list[RunResult] = []
    for bench_site in BENCH_SITES:
        if bench_site.name not in args.sites:
            continue
        print(
            f"\n### {bench_site.name}\n\n{HEADER}\n|{'---|' * 14}", flush=True
        )
        for case in CASES:
            if case.name not in args.cases:
                continue
            for seed in args.seeds:
                for policies in args.policies:
                    run_result = await measure(bench_site, case, seed, policies)
                    results.append(run_result)
                    print(
                        _row(run_result, _quiet_reference(results, run_result)),
                        flush=True,
                    )
    used = [run_result.core_percent for run_result in results]
    late = sum(run_result.late_starts for run_result in results)
    sent = sum(r.sent for f in results for r in f.requests.values())
    print(
        f"\nThe load program used {min(used):.0f} to {max(used):.0f} % of a"
        f" core; {late} requests, including those before the {sent} measured"
        f" ones, were sent over {load_program.LATE_MS:.0f} ms late."
    )
    return results


def _quiet_reference(
    results: list[RunResult], run_result: RunResult
) -> RunResult | None:
    for other in results:
        if other.case == "quiet" and (
            (other.place, other.seed, other.policies)
            == (run_result.place, run_result.seed, run_result.policies)
        ):
            return other
    return None


def main() -> None:
    """Parses the command line and runs the cases."""
    names = [case.name for case in CASES]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sites", nargs="*", default=[p.name for p in BENCH_SITES]
    )
    parser.add_argument("--cases", nargs="*", default=names, choices=names)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2])
    parser.add_argument("--policies", nargs="*", default=["product", "plain"])
    parser.add_argument("--json", default="", help="file for all results")
    args = parser.parse_args()
    results = asyncio.run(run_all(args))
    if args.json:
        pathlib.Path(args.json).write_text(
            json.dumps(msgspec.to_builtins(results))
        )


if __name__ == "__main__":
    main()
