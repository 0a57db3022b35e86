"""A heartbeat of another writer reaches an agent while its worker is at work."""

import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import bed as lib  # noqa: E402


def case(bed):
    job = bed.submit([{"count": 1, "cpu": 4000, "gpu": 2, "estimate-ms": 14000}], 14.0)
    task = job + ".0.0.0"
    bed.wait(10, "the work unit runs", lambda: bed.running_on(task))
    time.sleep(4)
    number = bed.running_on(task)[0]
    worker = bed.workers[number - 1]
    if lib.trouble():
        body = worker.body()
        body.update({
            # No config names this service.
            "service": "otro-servicio", "address": "127.0.0.1:9", "sequence": 1,
            "clock-ms": 10, "born": int(time.time() * 1000),
        })
        status = worker.send_heartbeat("x-51c09ab3", body)
        bed.record.add("another writer's heartbeat (service otro-servicio, id x-51c09ab3) "
                       "at agent %d -> %s" % (number, status))
    bed.wait_for(25, lambda: bed.state(job) == "completed", pause=0.5)
    twice = [text for text in bed.violations if text.startswith("TWICE")]
    return not twice, twice[0] if twice else "each work unit ran once at a time"


lib.main(case)
