"""After a restart of its agent, a sound minion is ignored because of another writer's heartbeat; its tasks are lost."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For a look at the parts alone: ODD=0 kills the agent, but no other writer sends anything.
ODD = os.environ.get("ODD", "1") != "0"
JOB = "00000000000000a1"
TASKS = 6
PER_MINION = 2
# RULES.md: from 6 s after a task's last run, after 4 s of calm, for 3 s.
AFTER_LAST_RUN_S = 6
CALM_BEFORE_S = 4
WITHOUT_RUN_S = 3


async def send_odd_heartbeats(site, minion):
    """A writer of something else: its service is not named in the configuration, and nothing answers at its address."""
    port = deployment.free_port()
    born = int(time.time() * 1000)
    sequence = 0
    first = True
    while True:
        sequence += 1
        body = {"service": "not-named-here", "address": f"127.0.0.1:{port}", "zone": "z", "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "capacity": minion.capacity, "labels": [],
                "clockMs": 1000 + sequence, "sequence": sequence, "born": born, "machine": "m-other"}
        status, _ = await deployment.http(minion.control, "POST", "/instances/i-other/heartbeat", body, timeout=1.0)
        if status and first:
            first = False
            site.record(f"the agent answers the other writer's heartbeat: {status}")
        await asyncio.sleep(0.3)


def running(site, minion):
    return [it for it in site.open_runs if it[0] == minion.number]


async def main(make):
    site = make(dispatchers=2, minions=3)
    await site.open()
    await asyncio.sleep(3)
    step = {"count": TASKS, "cpu": 2000, "memoryRequestMb": 256, "estimatedMs": 400, "longRunning": True,
            "antiAffinity": PER_MINION}
    if not await site.submit(JOB, [step], {"ms": 0}):
        return 2
    if not await site.wait_for(lambda: len(site.open_runs) == TASKS, 10):
        return 2
    await asyncio.sleep(3)
    minion = site.minions[0]
    if TROUBLE:
        site.kill("side-0")
        writer = asyncio.create_task(send_odd_heartbeats(site, minion)) if ODD else None
        await asyncio.sleep(0.5)
        site.start_process("side-0")
    calm_since = site.record.now()
    verdict = 0
    while site.record.now() < calm_since + 32:
        await asyncio.sleep(0.1)
        now = site.record.now()
        for n in range(TASKS):
            task = f"{JOB}.0.0.{n}"
            if any(it[1] == task for it in site.open_runs):
                continue
            last = max(it["to"] for it in site.runs_of(task))
            due = max(last + AFTER_LAST_RUN_S, calm_since + CALM_BEFORE_S) + WITHOUT_RUN_S
            if now > due and verdict == 0:
                verdict = 1
                site.record(f"BROKEN: {task} is to last, has not run since {last:.3f}, and minion 0, which is up, "
                            f"ready and sends heartbeats, runs {running(site, minion)}")
    site.record(f"at the end minion 0 runs {sorted(running(site, minion))}")
    if TROUBLE and ODD:
        writer.cancel()
    return verdict


deployment.run(main, FOLDER)
