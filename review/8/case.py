"""A start that is carried out late reaches the second lifetime of its worker after the one that it was
sent to, while the work unit runs elsewhere."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import bed  # noqa: E402

JOB = "9b19412096530bb6"
TASK = JOB + ".0.0.0"
WORK_MS = 14_000
HELD_S = 8
UP_S, DOWN_S = 0.9, 0.5


def case(it):
    held = []

    def hold_first_start(path, call):
        if path == "/-/run-start" and call["task"] == TASK and not held:
            held.append(call)
            return HELD_S
        return None

    # The lifetime that ends has run for longer than the later one will have when the call arrives.
    time.sleep(8)
    if bed.TROUBLE:
        for worker in it.workers:
            worker["proxy"].rule = hold_first_start
    accepted = it.submit(JOB, [{"count": 1, "cpu": 3700, "mem-mb": 256, "gpu": 1, "estimate-ms": WORK_MS}],
                         {"ms": WORK_MS})
    first = it.wait(10, "the work unit is started", lambda: it.events("start", TASK))[0]
    worker = next(worker for worker in it.workers if worker["name"] == first["worker"])
    if bed.TROUBLE:
        for _ in range(2):
            time.sleep(UP_S)
            it.kill(worker["name"])
            time.sleep(DOWN_S)
            it.start_worker(worker)
        it.wait(5, "it is started elsewhere", lambda: it.events("start", TASK)[1:])
    time.sleep(max(0, accepted + HELD_S + 2 - time.monotonic()))
    starts, ends = it.events("start", TASK), it.events("end", TASK)
    killed = [note["at"] for note in it.notes if note["what"] == "signal"]
    for run in starts:
        for other in starts:
            same = (run["worker"], run["born"]) == (other["worker"], other["born"])
            over = [e["at"] for e in ends if (e["worker"], e["born"], e["run"])
                    == (run["worker"], run["born"], run["run"])]
            if run["worker"] == worker["name"]:
                over += [at for at in killed if at > run["at"]]
            if not same and run["at"] < other["at"] < min(over, default=time.monotonic()):
                return (f"TWICE: run {other['run']} of {TASK} began on {other['worker']} while run "
                        f"{run['run']} was running on {run['worker']}")
    return None


if __name__ == "__main__":
    bed.run(__file__, case, entries=2, workers=3)
