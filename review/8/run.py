"""A runner is cut off while an allocator is down, and has a new owner when it is back (claim.txt)."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from deployment import Deployment, job_id, main  # noqa: E402

JOB = job_id()
CUT_S = 5.5
attempts = {}
cut_begun = []


def behaviour(task, run, spec):
    """Tasks that start before the cut fail after 0.3 to 1.0 s, twice at most; others take 30 s."""
    attempts[task] = attempts.get(task, 0) + 1
    if attempts[task] <= 2 and not cut_begun:
        return random.uniform(0.3, 1.0), "failed"
    return 30.0, "done"


def failing_runs(runner):
    return [run for run in runner.active.values() if run.outcome == "failed"]


def make(folder):
    return Deployment(folder, behaviour, [2000] * 12)


async def case(deployment, trouble):
    record = deployment.record
    leader = deployment.leader()
    assert leader is not None, "no leader"
    owners = {host.control: host for host in deployment.allocators}
    candidates = [runner for runner in deployment.runners
                  if owners.get(runner.heartbeat_address) not in (None, leader)]
    assert candidates, "all runners belong to the leader"
    restarted = owners[candidates[0].heartbeat_address]
    candidates = [runner for runner in candidates if owners[runner.heartbeat_address] is restarted]
    victim = candidates[0]
    if trouble:
        restarted.kill()
    killed_at = time.monotonic()
    while trouble and time.monotonic() - killed_at < 4 and any(
            runner.heartbeat_address in (None, restarted.control) for runner in candidates):
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.4)
    step = {"count": 12, "cpu": 400, "memMb": 1, "estRuntimeMs": 0}
    status, _ = await deployment.client(deployment.gateways[0], "POST", JOB,
                                        {"spec": "j", "steps": [step] * 4})
    assert status == 200, "the job wasn't accepted"
    while time.monotonic() - killed_at < 5.3:
        # The leader prefers its own targets, so that the third run starts later on those of its own.
        victim = max(candidates, key=lambda runner: (
            runner.heartbeat_address != leader.control, len(failing_runs(runner))))
        if len(failing_runs(victim)) >= 2:
            break
        await asyncio.sleep(0.01)
    if trouble:
        victim.is_cut = True
        cut_begun.append(True)
        cut_at = time.monotonic()
        record.write(f"{victim.name} is cut off; it runs {list(victim.active)}")
        await asyncio.sleep(cut_at + 1.6 - time.monotonic())
        record.write(f"{restarted.name} was down for {time.monotonic() - killed_at:.1f} s")
        restarted.start()
        await asyncio.sleep(cut_at + CUT_S - time.monotonic())
        victim.is_cut = False
        record.write(f"{victim.name} is back")
    await asyncio.sleep(15)
    return [f"TWICE: {a['task']} run {a['run']} on {a['runner']} and run {b['run']} on "
            f"{b['runner']} at the same time for {overlap:.2f} s"
            for a, b, overlap in deployment.simultaneous_runs()]


main(case, make)
