"""A machine is lost for good just before jobs are ordered on its worker."""

import json
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import bed as lib  # noqa: E402

JOBS = 4
# visible-ms and the 2 s that the count may be old.
SETTLED_S = 3.0 + 2.0
FILL_S = 30.0


def case(bed):
    fill = {"count": 1, "cpu": 13000, "gpu": 8, "estimate-ms": int(FILL_S * 1000)}
    fillers = [bed.submit([fill], FILL_S) for _ in bed.workers[1:]]
    bed.wait(10, "all workers but one are full", lambda: all(
        bed.running_on(job + ".0.0.0") for job in fillers))
    busy = {bed.running_on(job + ".0.0.0")[0] for job in fillers}
    free = next(worker for worker in bed.workers if worker.number not in busy)
    agent = bed.agents[free.number - 1]
    if lib.trouble():
        agent.kill()
        free.crash()
    step = {"count": 1, "cpu": 3700, "gpu": 2, "estimate-ms": 2000}
    accepted = {}
    for _ in range(JOBS):
        job = bed.submit([step], 2.0)
        accepted[job] = time.monotonic()
    worst = None
    until = time.monotonic() + 15
    while time.monotonic() < until:
        time.sleep(0.5)
        for entry in range(len(bed.entries)):
            sent = time.monotonic()
            status, text = bed.client("GET", lib.PREFIX, entry=entry)
            waiting = [
                job for job, at in accepted.items()
                if sent > at + SETTLED_S and job not in bed.begun
            ]
            if status != 200 or not waiting:
                continue
            pending = json.loads(text)["pending"]
            bed.record.add("%d jobs accepted over 5 s ago haven't begun" % len(waiting))
            if pending < len(waiting) / 2 and worst is None:
                worst = "entry %d gives %d as pending, %d jobs haven't begun" % (
                    entry + 1, pending, len(waiting))
                bed.violation("MIXED: " + worst)
    bed.wait_for(40, lambda: all(bed.state(job) == "completed" for job in accepted), pause=1)
    return worst is None, "MIXED: " + (worst or "each count had at least half of the jobs")


lib.main(case, priority=0)
