"""TWICE: a runner crashes while it is idle and starts again under its id."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "support"))

from standin import (TROUBLE, ZONES, Runner, TwiceChecker, route, run_case,  # noqa: E402
                     spec)

PREFIX = "/pule252/"
ROUND_COUNT = 10
DOWN_TIME = 0.2
# A runner sends a heartbeat about every 1.5 s; the first one of the new life comes this long after
# its start.
FIRST_HEARTBEAT_DELAY = float(os.environ.get("FIRST_HEARTBEAT_DELAY", "0.1"))
# Tasks of the `tag-issue` and `lost-report` requests.
RUN_TIMES = [0.17, 0.76]


async def play(cluster):
    checker = TwiceChecker(cluster)
    runners = [Runner(cluster, f"i-{zone}{i}7f3a91", zone=ZONES[zone],
                      labels=("a", f"r{zone + 1}-1")) for zone in range(3) for i in range(3)]
    await cluster.start([route(PREFIX, 1)], runners)
    # Jobs go to runners of the zone of the node that leads, as long as there is room.
    leader = cluster.acknowledged_by.rsplit(":", 1)[0]
    victim = next(r for r in runners if r.zone == cluster.zones[leader])
    for i in range(ROUND_COUNT):
        if TROUBLE:
            victim.crash()
            await asyncio.sleep(DOWN_TIME)
            victim.first_heartbeat_delay = FIRST_HEARTBEAT_DELAY
            await victim.start()
        run_time = RUN_TIMES[i % 2]
        job = cluster.new_job_id()
        body = {"spec": spec(run_time), "steps": [{"count": 2, "cpu": 6800, "memMb": 64,
                                                   "estRuntimeMs": int(run_time * 1000)}]}
        await cluster.client_call(cluster.gateways[i % 2], "POST", PREFIX + job, body)
        await asyncio.sleep(4.0)
        await cluster.client_call(cluster.gateways[i % 2], "GET", PREFIX + job)
    return checker.all_breaks()


run_case(pathlib.Path(__file__).resolve().parent, play, zone_count=3)
