"""An agent is restarted as planned, and the last report of the old process is stored late."""

import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import bed as lib  # noqa: E402

# A write without an answer is done 1 to 6 s later.
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0
RESTART_S = 1.0


class LostAnswer:
    """Loses the answer of the next report of an agent, and performs it late."""

    def __init__(self, bed, key):
        self.bed, self.key = bed, key
        self.held, self.done = None, False
        self.lock = threading.Lock()
        self.arrived = threading.Event()

    def intercept(self, path, call):
        keys = [row["key"] for row in call.get("writes") or [] if row["table"] == "workers"]
        with self.lock:
            if path != "/-/rows-tx" or keys != [self.key] or self.held:
                return None
            self.held, self.at = call, time.monotonic()
        self.bed.record.add("a report of %s reaches the store: no answer" % self.key)
        self.arrived.set()
        return lambda: None

    def performed(self, path, call):
        """Performs the write, once the row that it changes has been read again."""
        if path != "/-/rows-get" or call.get("table") != "workers" or call.get("from") != self.key:
            return
        with self.lock:
            late = time.monotonic() - self.at if self.held else 0
            if self.done or not MIN_LATE_S <= late <= MAX_LATE_S:
                return
            self.done = True
        status = self.bed.store.transact(self.held)[0]
        self.bed.record.add("the store performs the report, %.2f s late -> %d" % (late, status))


def case(bed):
    job = bed.submit([{"count": 1, "cpu": 4000, "gpu": 2, "estimate-ms": 14000}], 14.0)
    task = job + ".0.0.0"
    bed.wait(10, "the work unit runs", lambda: bed.running_on(task))
    time.sleep(4)
    number = bed.running_on(task)[0]
    agent = bed.agents[number - 1]
    lost = LostAnswer(bed, agent.row_key)
    if lib.trouble():
        bed.store.performed = lost.performed
        bed.store.intercept = lost.intercept
        if not lost.arrived.wait(5):
            raise lib.CannotRun("no report came")
    agent.signal(signal.SIGTERM)
    agent.process.wait()
    time.sleep(RESTART_S)
    agent.start()
    bed.wait_for(25, lambda: bed.state(job) == "completed", pause=0.5)
    if lib.trouble() and not lost.done:
        raise lib.CannotRun("the write was not performed late")
    twice = [text for text in bed.violations if text.startswith("TWICE")]
    return not twice, twice[0] if twice else "each work unit ran once at a time"


lib.main(case)
