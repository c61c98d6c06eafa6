"""Urgent jobs wait for the one runner that can hold them, which is lost (see claim.txt)."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
import deployment as support  # noqa: E402
from deployment import Deployment, job_id, main  # noqa: E402

LARGE_COUNT, SMALL_COUNT = 30, 40
FINISH_S, IDLE_S, CONTACT_S = 14.0, 3.0, 3.0
URGENT, LATER = "urgent/", "later/"


def behaviour(task, run, spec):
    return 0.3, "done"


def make(folder):
    # The runners of the site are of two sizes, 16 and 24 cores.
    return Deployment(folder, behaviour, [16000] * 8 + [24000])


def job(cpu):
    return {"spec": "s", "steps": [{"count": 1, "cpu": cpu, "memMb": 64, "estRuntimeMs": 300}]}


async def case(deployment, trouble):
    record = deployment.record
    configuration = deployment.configuration(2)
    template = configuration["routes"][0]
    configuration["routes"] = [
        dict(template, name="q-urgent", pathPrefix=support.PREFIX + URGENT, priority=0),
        dict(template, name="q-later", pathPrefix=support.PREFIX + LATER, priority=2)]
    assert await deployment.put_configuration(configuration), "no new configuration"
    large_runner = deployment.runners[-1]
    if trouble:
        record.write(f"{large_runner.name} crashes for good")
        large_runner.is_down = True
        large_runner.crash()
        large_runner.server.close()
    await asyncio.sleep(CONTACT_S + 4)

    async def submit(prefix, body, number):
        identity = job_id()
        status, _ = await deployment.client(deployment.gateways[number % 2], "POST",
                                            prefix + identity, body)
        return identity if status == 200 else None

    for number in range(LARGE_COUNT):
        await submit(URGENT, job(20000), number)
        await asyncio.sleep(0.1)
    accepted = []
    for number in range(SMALL_COUNT):
        accepted.append(await submit(LATER, job(500), number))
        await asyncio.sleep(0.18)
    accepted = [identity for identity in accepted if identity]
    assert accepted, "no job was accepted"
    asked_from = record.now() + FINISH_S
    await asyncio.sleep(FINISH_S + 10)
    violations = []
    for identity in accepted:
        first = min((run["start"] for run in deployment.runs if run["task"].startswith(identity)),
                    default=record.now())
        if first - asked_from > IDLE_S:
            _, answer = await deployment.client(deployment.gateways[0], "GET", LATER + identity)
            violations.append(f"LOST: job {identity} had nothing running from {asked_from:.1f} to "
                              f"{first:.1f}, with eight idle runners; it is shown as {answer}")
    return violations


main(case, make)
