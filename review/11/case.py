"""An allocator stands still for a moment, again and again. Does a stored task get two runs at once?"""

import asyncio
import json
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
import deployment

WORK_MS = 4000
JOB = {"spec": json.dumps({"ms": WORK_MS}),
       "steps": [{"count": 1, "cpu": 1000, "memMb": 16, "estRuntimeMs": WORK_MS}]}
# Seconds of a standstill and of the pause after it, drawn anew each time; jobs for each.
STANDSTILL, PAUSE, JOBS = (0.76, 0.88), (0.4, 0.65), 8
TRY_S, LAST_RUNS_S = 87, 5


class DoubleRuns:
    """Notes each start of a task while another run of it is active on another runner."""

    def __init__(self, lab):
        self.found = []
        on_start = lab.on_start

        def start(runner, key, body):
            on_start(runner, key, body)
            others = [f"{other.id} (run {other_key[1]})" for other in lab.runners
                      if other is not runner for other_key in other.active if other_key[0] == key[0]]
            if others:
                self.found.append(f"{key[0]} run {key[1]} started on {runner.id} at "
                                  f"{lab.record.now():.2f}, while it ran on {', '.join(others)}")

        lab.on_start = start


async def case(lab, has_trouble):
    await lab.begin([])
    # The allocator that leads answers a change of the configuration, the others name it.
    leader = await lab.leader_address(8)
    followers = [a for a in lab.allocators if a.control_address() != leader]
    runners = {follower: await lab.add_runner(follower.zone, ["a", "r1"], 64000)
               for follower in followers}
    await asyncio.sleep(3)
    double_runs = DoubleRuns(lab)
    accepted, number = [], 0
    until = lab.record.now() + TRY_S
    while lab.record.now() < until and not double_runs.found:
        # New jobs go to the allocator with less work.
        frozen = min(followers, key=lambda follower: len(runners[follower].active))
        number += 1
        if has_trouble:
            frozen.signal(signal.SIGSTOP)
        accepted += [lab.spawn(lab.submit(lab.gateways[i % 2], lab.new_job(), JOB))
                     for i in range(JOBS)]
        await asyncio.sleep(random.uniform(*STANDSTILL))
        if has_trouble:
            frozen.signal(signal.SIGCONT)
        await asyncio.sleep(random.uniform(*PAUSE))
    await asyncio.sleep(LAST_RUNS_S)
    answers = [(await answer)[0] for answer in accepted]
    lab.record.line(f"{number} standstills, {answers.count(200)} of {len(answers)} jobs accepted")
    if answers.count(200) * 2 < len(answers):
        raise deployment.CannotRun("too few jobs were accepted")
    return [f"TWICE: {text} (standstill {number})" for text in double_runs.found]


deployment.main(case, pathlib.Path(__file__).parent)
