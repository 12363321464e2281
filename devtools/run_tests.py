"""Runs all test modules, several at once, each in a process of its own.

Prints `tests: N passed, N failed` last. A test that KNOWN-RED.txt names with a
line `test: <dotted name>` is not run; its name is printed instead. Skipped
tests count as failed, because a skip would hide a missing proof.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from typing import Final
import unittest

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
MODULES_AT_ONCE: Final = 3
MODULE_TIMEOUT_S: Final = 900
RESULT_MARK: Final = "RESULT "


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModuleResult:
    """Counts of one test module."""

    module: str
    passed: int
    failed: int


def known_red() -> set[str]:
    """Returns the dotted names of tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(_flatten(item))
        else:
            cases.append(item)
    return cases


def run_module(module: str) -> int:
    """Runs one module in this process and prints its counts as JSON."""
    red = known_red()
    cases = _flatten(unittest.defaultTestLoader.loadTestsFromName(module))
    wanted = [case for case in cases if case.id() not in red]
    for case in cases:
        if case.id() in red:
            print(f"known red, not run: {case.id()}")
    runner = unittest.TextTestRunner(verbosity=2, stream=sys.stdout)
    result = runner.run(unittest.TestSuite(wanted))
    failed = (
        len(result.failures)
        + len(result.errors)
        + len(result.skipped)
        + len(result.unexpectedSuccesses)
    )
    passed = max(result.testsRun - failed, 0)
    print(RESULT_MARK + json.dumps({"passed": passed, "failed": failed}))
    return 1 if failed else 0


async def _run_in_process(module: str, gate: asyncio.Semaphore) -> ModuleResult:
    async with gate:
        started = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "devtools.run_tests",
            "--module",
            module,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(MODULE_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            output, _ = await process.communicate()
    text = output.decode(errors="replace")
    result = _parse_result(module, text)
    elapsed = time.monotonic() - started
    print(
        f"{module}: {result.passed} passed, {result.failed} failed"
        f" ({elapsed:.1f} s)"
    )
    if result.failed or "known red" in text:
        print(text)
    return result


def _parse_result(module: str, text: str) -> ModuleResult:
    for line in reversed(text.splitlines()):
        if line.startswith(RESULT_MARK):
            counts = json.loads(line.removeprefix(RESULT_MARK))
            return ModuleResult(module=module, **counts)
    return ModuleResult(module=module, passed=0, failed=1)


async def run_all() -> int:
    """Runs every module under tests/ and prints the totals."""
    paths = sorted((ROOT / "tests").glob("test_*.py"))
    gate = asyncio.Semaphore(MODULES_AT_ONCE)
    results = await asyncio.gather(
        *(_run_in_process(f"tests.{path.stem}", gate) for path in paths)
    )
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"tests: {passed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Runs one module or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--module", help="run only this dotted module")
    args = parser.parse_args()
    if args.module:
        return run_module(args.module)
    return asyncio.run(run_all())


if __name__ == "__main__":
    sys.exit(main())
