#!/usr/bin/env python3
"""Runs all CppUTest binaries of a directory and compares failures with KNOWN-RED.txt.

Only the tests listed in KNOWN-RED.txt may fail. Each group runs in its own process, so that a
crash fails only the test that was running. Property tests run with a fixed RapidCheck seed unless
RC_PARAMS is set, so that each run gives the same verdict.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

GROUP_TIMEOUT_SECONDS = 600
STARTED_TEST = re.compile(r"TEST\((\w+), (\w+)\)")
FAILED_TEST = re.compile(r"Failure in (?:IGNORE_)?TEST\((\w+), (\w+)\)")
# CppUTest prints one of these lines after its last test.
SUMMARY = re.compile(r"^(?:OK|Errors) \(", re.M)


def read_known_failures(root):
    failures = set()
    for line in (root / "KNOWN-RED.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            failures.add(tuple(line.split("|")[0].split()))
    return failures


def list_groups(binary):
    output = subprocess.run([binary, "-ln"], capture_output=True, text=True, timeout=60)
    groups = {}
    for name in output.stdout.split():
        group, test = name.split(".", 1)
        groups.setdefault(group, set()).add(test)
    if output.returncode != 0 or not groups:
        sys.exit(f"{binary.name} can't list its tests (exit code {output.returncode})")
    return groups


def find_failed_tests(output, code, tests):
    """Returns the tests of one group that failed, given the output and exit code of its run."""
    failed = {test for _, test in FAILED_TEST.findall(output)}
    if code != 0 and not SUMMARY.search(output):
        # The process crashed or timed out: the test that it started last has failed.
        started = [test for _, test in STARTED_TEST.findall(output) if test in tests]
        failed |= {started[-1]} if started else tests
    elif code != 0 and not failed:
        # The process ended with an error after its last test, for example because of a leak.
        failed = set(tests)
    return failed


def run_group(binary, group, tests):
    environment = dict(os.environ)
    environment.setdefault("RC_PARAMS", "seed=20261204")
    command = [str(binary), "-sg", group, "-v"]
    try:
        run = subprocess.run(
            command, capture_output=True, text=True, errors="replace",
            timeout=GROUP_TIMEOUT_SECONDS, env=environment)
        output, code = run.stdout + run.stderr, run.returncode
    except subprocess.TimeoutExpired as expired:
        # The partial output is bytes although text was requested.
        partial_output = (expired.stdout or b"").decode(errors="replace")
        output, code = f"{partial_output}\ntimed out: {expired}", -1
    return binary.name, group, tests, find_failed_tests(output, code, tests), output


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    binaries = sorted(pathlib.Path(sys.argv[1]).resolve().glob("*_tests"))
    if not binaries:
        print("no test binaries found")
        return 1
    known_failures = read_known_failures(root)
    passed = failed = 0
    unexpected_failures = []
    jobs = [(binary, group, tests) for binary in binaries
            for group, tests in sorted(list_groups(binary).items())]
    # Entry hosts hold leases in real time, so their tests don't run in parallel with others.
    exclusive_jobs = [job for job in jobs if job[0].name in {"entryhost_tests", "peers_tests"}]
    parallel_jobs = [job for job in jobs if job not in exclusive_jobs]
    with concurrent.futures.ThreadPoolExecutor(max_workers=8) as pool:
        results = list(pool.map(lambda job: run_group(*job), parallel_jobs))
    results += [run_group(*job) for job in exclusive_jobs]
    for name, group, tests, failed_tests, output in results:
        expected_failures = {test for test in failed_tests if (name, group, test) in known_failures}
        for test in sorted(expected_failures):
            print(f"known red: {name} {group} {test}")
        for test in sorted(tests - failed_tests):
            if (name, group, test) in known_failures:
                print(f"listed in KNOWN-RED.txt but passes: {name} {group} {test}")
        if failed_tests - expected_failures:
            print(output)
            unexpected_failures += [f"{name} {group} {test}"
                                    for test in sorted(failed_tests - expected_failures)]
        passed += len(tests - failed_tests)
        failed += len(failed_tests - expected_failures)
    for test in unexpected_failures:
        print(f"FAILED {test}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
