"""A start that is carried out late reaches the next lifetime of its worker, after its run was done."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import bed  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = JOB + ".0.0.0"
WORK_MS = 2_500
HELD_S = 9


def case(it):
    worker = it.workers[0]
    held = []

    def hold_first_start(path, call):
        if path == "/-/run-start" and call["task"] == TASK and not held:
            held.append(call)
            return HELD_S
        return None

    # The lifetime that ends has run for longer than the next one will have when the call arrives.
    time.sleep(8)
    if bed.TROUBLE:
        worker["proxy"].rule = hold_first_start
    accepted = it.submit(JOB, [{"count": 1, "cpu": 3700, "mem-mb": 256, "gpu": 1, "estimate-ms": WORK_MS}],
                         {"ms": WORK_MS})
    it.wait(10, "the end is taken note of",
            lambda: [e for e in it.events("acknowledged", TASK) if e["how"] == "done"])
    it.wait(3, "the job is shown as completed", lambda: it.state(JOB, 1) == "completed")
    if bed.TROUBLE:
        it.kill(worker["name"])
        time.sleep(1)
        it.start_worker(worker)
    time.sleep(max(0, accepted + HELD_S + 3 - time.monotonic()))
    noted = min(e["at"] for e in it.events("acknowledged", TASK) if e["how"] == "done")
    again = [e for e in it.events("start", TASK) if e["at"] > noted]
    if again:
        at = again[0]["at"] - noted
        return f"TWICE: {TASK} began again {at:.1f} s after its end as done was taken note of"
    return None


if __name__ == "__main__":
    bed.run(__file__, case, entries=2, workers=1)
