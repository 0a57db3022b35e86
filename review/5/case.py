"""A late copy of a start reaches the next lifetime of a worker, after the work unit was done."""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import bed as lib  # noqa: E402

# An order without an answer is carried out 2 to 12 s later.
LATE_S = 9.0
DOWN_S = 2.0


def case(bed):
    job, held = lib.new_id(), []

    def lose_start(worker, call, expected):
        """Loses the answer of the first start, and carries it out late."""
        if held or not call["task"].startswith(job):
            return None
        held.append((worker, call, expected))
        bed.record.add("start of %s run %d reaches worker %d: no answer, delayed" % (
            call["task"], call["run-id"], worker.number))

        def carry_out():
            time.sleep(LATE_S)
            answer = worker.perform("/-/run-start", call, expected)
            bed.record.add("the delayed start of %s run %d reaches worker %d %.1f s late -> %s" % (
                call["task"], call["run-id"], worker.number, LATE_S, answer))

        threading.Thread(target=carry_out, daemon=True).start()
        return lambda: None

    if lib.trouble():
        for worker in bed.workers:
            worker.intercept_start = lose_start
    bed.submit([{"count": 1, "cpu": 3700, "gpu": 1, "estimate-ms": 2500}], 2.5, job=job)
    task = job + ".0.0.0"
    bed.wait(15, "the work unit is done and its end taken note of", lambda: task in bed.noted_done)
    if lib.trouble():
        worker = held[0][0]
        time.sleep(1)
        worker.crash()
        time.sleep(DOWN_S)
        worker.boot(same_id=True)
        time.sleep(LATE_S)
    bed.wait_for(10, lambda: bed.state(job) == "completed", pause=0.5)
    twice = [text for text in bed.violations if text.startswith("TWICE")]
    return not twice, twice[0] if twice else "no work unit ran again"


lib.main(case)
