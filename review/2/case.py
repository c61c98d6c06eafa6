"""TWICE: the core machine that leads is cut off for a while, and the others are killed after it."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "support"))

from standin import (TROUBLE, ZONES, CannotRun, Runner, TwiceChecker, route,  # noqa: E402
                     run_case, spec)

REPORT_PREFIX, ISSUE_PREFIX = "/pufi791/", "/pule252/"
# A task of a `lost-report`, which takes up to 8.1 s.
RUN_TIME = 5.0
CUT_TIME = 5.0
# The processes that are killed are back within a second.
DOWN_TIME = 0.5


async def play(cluster):
    checker = TwiceChecker(cluster)
    runners = [Runner(cluster, f"i-{zone}{i}7f3a91", zone=ZONES[zone],
                      labels=("a", f"r{zone + 1}-1")) for zone in range(3) for i in range(3)]
    await cluster.start([route(REPORT_PREFIX, 2, 15000), route(ISSUE_PREFIX, 1, 15000)], runners)
    # The runners have reported to their owners only for some time.
    await asyncio.sleep(12.0)
    leader = cluster.acknowledged_by.rsplit(":", 1)[0]
    others = [a for a in cluster.allocators if a != leader]
    gateway = next(g for g in cluster.gateways if cluster.zones[g] == cluster.zones[leader])

    async def submit_unstored():
        """Keeps all runners of the leader's zone at work."""
        body = {"spec": spec(8.0), "bestEffort": True,
                "steps": [{"count": 3, "cpu": 2000, "memMb": 64, "estRuntimeMs": 8000,
                           "antiAffinity": 1}]}
        await cluster.client_call(gateway, "POST", ISSUE_PREFIX + cluster.new_job_id(), body,
                                  deadline=15.0)

    unstored = [asyncio.create_task(submit_unstored())]
    await asyncio.sleep(0.5)
    body = {"spec": spec(RUN_TIME), "steps": [{"count": 1, "cpu": 2000, "memMb": 64,
                                               "estRuntimeMs": int(RUN_TIME * 1000)}]}
    jobs = []
    for _ in range(6):
        job = cluster.new_job_id()
        status, _ = await cluster.client_call(gateway, "POST", REPORT_PREFIX + job, body)
        if status != 200:
            raise CannotRun("a report was not accepted")
        jobs.append(job)
        await asyncio.sleep(0.03)
    # The first runs end 0.2 s to 0.4 s after the partition has begun.
    await asyncio.sleep(RUN_TIME - 0.4)
    if TROUBLE:
        cluster.cut(leader, others)
    await asyncio.sleep(1.5)
    unstored.append(asyncio.create_task(submit_unstored()))
    await asyncio.sleep(CUT_TIME - 1.5)
    if TROUBLE:
        cluster.join()
        for other in others:
            cluster.signal(other, signal.SIGKILL)
            cluster.processes[other].wait()
        await asyncio.sleep(DOWN_TIME)
        for other in others:
            cluster.start_process(other)
    await asyncio.sleep(12.0)
    for job in jobs:
        await cluster.client_call(gateway, "GET", REPORT_PREFIX + job)
    for task in unstored:
        task.cancel()
    return checker.all_breaks()


run_case(pathlib.Path(__file__).resolve().parent, play, zone_count=3, gateway_count=3,
         has_peer_proxies=True)
