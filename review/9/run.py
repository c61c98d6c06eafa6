"""A runner is cut off while an allocator is down, and has a new owner when it is back (claim.txt)."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from deployment import Deployment, job_id, main  # noqa: E402

JOB = job_id()
DOWN_S = 3.5
CUT_S = 5.5
attempted = set()


def behaviour(task, run, spec):
    """The first attempt of each task fails after 0.5 to 1.7 s; later ones take 30 s."""
    if task not in attempted:
        attempted.add(task)
        return random.uniform(0.5, 1.7), "failed"
    return 30.0, "done"


def make(folder):
    return Deployment(folder, behaviour, [2000] * 6)


async def case(deployment, trouble):
    record = deployment.record
    leader = deployment.leader()
    assert leader is not None, "no leader"
    owners = {host.control: host for host in deployment.allocators}
    candidates = [runner for runner in deployment.runners
                  if owners.get(runner.heartbeat_address) not in (None, leader)]
    assert candidates, "all runners belong to the leader"
    victim = candidates[0]
    restarted = owners[victim.heartbeat_address]
    begun = time.monotonic()
    if trouble:
        restarted.kill()
    await asyncio.sleep(1.6)
    step = {"count": 6, "cpu": 400, "memMb": 1, "estRuntimeMs": 0}
    status, _ = await deployment.client(deployment.gateways[0], "POST", JOB,
                                        {"spec": "j", "steps": [step] * 4})
    assert status == 200, "the job wasn't accepted"
    await asyncio.sleep(begun + 2.2 - time.monotonic())
    if trouble:
        victim.is_cut = True
        record.write(f"{victim.name} is cut off; it runs {list(victim.active)}")
        await asyncio.sleep(begun + DOWN_S - time.monotonic())
        restarted.start()
        await asyncio.sleep(begun + 2.2 + CUT_S - time.monotonic())
        victim.is_cut = False
        record.write(f"{victim.name} is back")
    await asyncio.sleep(15)
    return [f"TWICE: {a['task']} run {a['run']} on {a['runner']} and run {b['run']} on "
            f"{b['runner']} at the same time for {overlap:.2f} s"
            for a, b, overlap in deployment.simultaneous_runs()]


main(case, make)
