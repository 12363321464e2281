"""Test runner: runs all test modules concurrently, each in its own process.

The last line of the output is `tests: N passed, N failed`. A test that is
listed in KNOWN-RED.txt with a line `test: <dotted name>` is printed and not
run. A skipped test counts as failed, since it verifies nothing.
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
MAX_CONCURRENT_MODULES: Final = 3
MODULE_TIMEOUT_S: Final = 900
RESULT_PREFIX: Final = "RESULT "


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModuleResult:
    """Result of a test module.

    Attributes:
        module: Dotted name.
        passed: Number of passed tests.
        failed: Number of failed or skipped tests.
    """

    module: str
    passed: int
    failed: int


def known_red() -> set[str]:
    """Returns the dotted names of the tests listed in KNOWN-RED.txt."""
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
    """Runs a module in this process and prints its counts as JSON.

    Returns:
        The exit status.
    """
    red = known_red()
    cases = _flatten(unittest.defaultTestLoader.loadTestsFromName(module))
    selected = [case for case in cases if case.id() not in red]
    for case in cases:
        if case.id() in red:
            print(f"known red, not run: {case.id()}")
    runner = unittest.TextTestRunner(verbosity=2, stream=sys.stdout)
    result = runner.run(unittest.TestSuite(selected))
    failed = (
        len(result.failures)
        + len(result.errors)
        + len(result.skipped)
        + len(result.unexpectedSuccesses)
    )
    passed = max(result.testsRun - failed, 0)
    print(RESULT_PREFIX + json.dumps({"passed": passed, "failed": failed}))
    return 1 if failed else 0


async def _run_in_subprocess(
    module: str, semaphore: asyncio.Semaphore
) -> ModuleResult:
    async with semaphore:
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
        if line.startswith(RESULT_PREFIX):
            counts = json.loads(line.removeprefix(RESULT_PREFIX))
            return ModuleResult(module=module, **counts)
    return ModuleResult(module=module, passed=0, failed=1)


async def run_all() -> int:
    """Runs all modules in tests/ and prints the totals.

    Returns:
        The exit status.
    """
    paths = sorted((ROOT / "tests").glob("test_*.py"))
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_MODULES)
    results = await asyncio.gather(
        *(_run_in_subprocess(f"tests.{path.stem}", semaphore) for path in paths)
    )
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"tests: {passed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Parses the command line and runs one module or all modules."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--module", help="run only this dotted module")
    args = parser.parse_args()
    if args.module:
        return run_module(args.module)
    return asyncio.run(run_all())


if __name__ == "__main__":
    sys.exit(main())
