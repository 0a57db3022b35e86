"""Two workers crash, one after the other, shortly after a work unit of the same job was started there."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import bed  # noqa: E402

JOB = "8f076fe9aaf7598c"
TASK = JOB + ".0.0.0"
WORK_MS = 6_000
CRASHES = 2
AGE_S = 0.4
DOWN_S = 2
LIMIT_S = 60
FINAL = ("completed", "failed", "cancelled")


def case(it):
    it.submit(JOB, [{"count": 1, "cpu": 3700, "mem-mb": 256, "gpu": 1, "estimate-ms": WORK_MS}],
              {"ms": WORK_MS})
    by_name = {worker["name"]: worker for worker in it.workers}
    for crash in range(CRASHES if bed.TROUBLE else 0):
        starts = it.wait(20, "the work unit is started",
                         lambda: it.events("start", TASK)[crash:])
        time.sleep(AGE_S)
        worker = by_name[starts[0]["worker"]]
        it.kill(worker["name"])
        time.sleep(DOWN_S)
        it.start_worker(worker)
    state = it.wait(LIMIT_S, "the job ends", lambda: (lambda s: s in FINAL and s)(it.state(JOB, 1)))
    failed = [e for e in it.events("end", TASK) if e["how"] == "failed"]
    if state == "failed" and not failed:
        return "LOST: the job is shown as failed, and none of its runs has ended failed"
    if state != "completed":
        raise bed.NotRun(f"the job is shown as {state}")
    return None


if __name__ == "__main__":
    bed.run(__file__, case, entries=2, workers=4)
