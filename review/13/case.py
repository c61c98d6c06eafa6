"""Large jobs that need a scarce kind of runner come at once. Do the accepted others still run?"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
import deployment

# The largest width, work and room of `lost-report` in the site file.
LARGE_JOBS, WIDTH, WORK_MS, CPU = 12, 16, 8100, 6800
LARGE = {"spec": json.dumps({"ms": WORK_MS}),
         "steps": [{"count": WIDTH, "cpu": CPU, "memMb": 64, "estRuntimeMs": WORK_MS,
                    "requires": "b"}]}
SMALL = {"spec": json.dumps({"ms": 51}),
         "steps": [{"count": 2, "cpu": CPU, "memMb": 64, "estRuntimeMs": 51}]}
SMALL_JOBS = 5
FINISH_S, IDLE_S = 14, 3


async def case(lab, has_trouble):
    # Three of four runners are of the kind a, the others of the kind b.
    await lab.begin([(zone, [kind, "r1"], 16000) for zone in range(3)
                     for kind in ("a", "a", "a", "b")])
    if has_trouble:
        for _ in range(LARGE_JOBS):
            await lab.submit_until_accepted(lab.new_job(), LARGE)
    await asyncio.sleep(3)
    accepted = []
    for _ in range(SMALL_JOBS):
        job = lab.new_job()
        if await lab.submit_until_accepted(job, SMALL):
            accepted.append(job)
    lab.record.line("traffic ends")
    await asyncio.sleep(FINISH_S)
    # LOST: for 3 s, a job has nothing running while a task's turn has come, there is capacity for
    # it twice over, and under half of the service's capacity is in use.
    idle = {job for job in accepted if (await lab.get(lab.gateways[0], job))[1] != "completed"}
    until, seen = lab.record.now() + IDLE_S, ""
    while lab.record.now() < until and idle:
        used = CPU * sum(len(runner.active) for runner in lab.runners)
        whole = sum(runner.cpu for runner in lab.runners)
        room = sum((runner.cpu - CPU * len(runner.active)) // CPU for runner in lab.runners)
        running = {key[0].split(".")[0] for runner in lab.runners for key in runner.active}
        idle = {job for job in idle if job not in running and room >= 4 and used * 2 < whole}
        text = f"room for {room} tasks, {used} of {whole} thousandths of a core in use"
        if text != seen:
            lab.record.line(text)
            seen = text
        await asyncio.sleep(0.05)
    started = {key.split(".")[0] for _, _, key, _ in lab.starts}
    return [f"LOST: {job} had nothing running for {IDLE_S} s, {FINISH_S} s after the traffic; "
            f"{'it ran before' if job in started else 'none of its tasks ever started'}; {seen}"
            for job in sorted(idle)]


deployment.main(case, pathlib.Path(__file__).parent)
