"""The labelled runner near the leader is lost; two others with the label are idle (claim.txt)."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from deployment import Deployment, job_id, main  # noqa: E402

JOBS = [job_id() for _ in range(12)]
LABEL = "b"
FINISH_S, IDLE_S, CONTACT_S = 14.0, 3.0, 3.0


def behaviour(task, run, spec):
    return 1.0, "done"


def make(folder):
    deployment = Deployment(folder, behaviour, [16000] * 7)
    # One runner of each data centre has the label.
    for runner in deployment.runners[:3]:
        runner.labels[0] = LABEL
    return deployment


def idle_times(deployment, job, since, until):
    """Returns the times between `since` and `until` in which no task of the job ran."""
    runs = sorted((run["start"], run["end"] or until) for run in deployment.runs
                  if run["task"].startswith(job))
    gaps, begin = [], since
    for start, end in runs:
        if start > begin:
            gaps.append((begin, min(start, until)))
        begin = max(begin, end)
    if begin < until:
        gaps.append((begin, until))
    return gaps


async def case(deployment, trouble):
    record = deployment.record
    leader = deployment.leader()
    assert leader is not None, "no leader"
    lost = next(runner for runner in deployment.runners[:3] if runner.zone == leader.zone)
    if trouble:
        record.write(f"{lost.name} crashes for good")
        lost.is_down = True
        lost.crash()
        lost.server.close()
    # The deployment has been calm for `contactMs`, and no start is sent to the lost runner any more.
    await asyncio.sleep(CONTACT_S + 4)
    for job in JOBS:
        status, _ = await deployment.client(deployment.gateways[0], "POST", job, {
            "spec": "s", "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estRuntimeMs": 1000,
                                    "requires": LABEL}]})
        assert status == 200, "a job wasn't accepted"
        await asyncio.sleep(0.7)
    asked_from = record.now() + FINISH_S
    await asyncio.sleep(FINISH_S + 25)
    violations = []
    for job in JOBS:
        done = [run["end"] for run in deployment.runs
                if run["task"].startswith(job) and run["how"] == "done"]
        until = min(done, default=record.now())
        for begin, end in idle_times(deployment, job, asked_from, until):
            if end - begin > IDLE_S:
                violations.append(f"LOST: job {job} had nothing running from {begin:.1f} to "
                                  f"{end:.1f}; two idle runners had its label and 16 cores each")
    return violations


main(case, make)
