"""Stand-in of a worker, one process per lifetime.

Argument: a JSON object with `address`, `control`, `id`, `service`, `rack`, `name`, `drain` and `events`,
the file to which events are appended. The work of a task is read from its `spec`, a JSON object:
`ms` is the run time, `fails` lists the run numbers that end `failed`, and `checkpoint` is the size of the
task's checkpoints in bytes if it has any.

`skew_ms` is how far the time of day of the worker's machine is ahead as this lifetime starts.
A file named by `drain`, once it exists, makes the worker drain.

The worker follows PROTOCOL.md, "Running work units": leases on its own clock, epoch numbers, ends that
are kept until they are acknowledged, refusals `fence`, `old` and `late`, and 421 for another id. It does
not guard its capacity.
"""

import http.client
import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOLD_MAX_MS = 10_000
HEARTBEAT_S = 1.5
STOP_MS = 100
CHECKPOINT_MS = 500
REMAINING_MS = 4_000
TICK_S = 0.01
MAX_ENDS = 500


class Worker:
    def __init__(self, options):
        self.options = options
        # The time of day of a machine may be off, and may jump between two lifetimes.
        self.born = int(time.time() * 1000) + options.get("skew_ms", 0)
        self.begin = time.monotonic()
        self.lock = threading.Condition()
        self.token = 0
        self.lease_ms = 0
        self.has_lease = False
        self.running = {}
        self.highest = {}
        self.finished = []
        self.ends = 0
        self.acked = 0
        self.draining = False
        self.sequence = 0
        self.events = open(options["events"], "a", buffering=1)

    def clock_ms(self):
        return int((time.monotonic() - self.begin) * 1000)

    def note(self, what, **fields):
        line = {"at": time.monotonic(), "worker": self.options["name"], "born": self.born, "what": what}
        self.events.write(json.dumps({**line, **fields}) + "\n")

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.finished.append([self.ends, task, run["run"], how, self.checkpoint(run, how == "stopped")])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.note("end", task=task, run=run["run"], how=how, number=self.ends)
        self.lock.notify_all()

    def checkpoint(self, run, at_stop=False):
        """Returns the newest checkpoint of a run: the work done so far, in a text of the asked size."""
        if not run["size"]:
            return ""
        done = self.clock_ms() - run["started"] + run["resumed"]
        done = done if at_stop else done - done % CHECKPOINT_MS
        return f"{done:016x}".ljust(run["size"], "0")

    def advance(self):
        now = self.clock_ms()
        if self.has_lease and now >= self.lease_ms:
            self.has_lease = False
            self.note("lease lapsed")
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif now >= run["done_at"]:
                self.end(task, run["how"])

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))
        self.has_lease = self.lease_ms > self.clock_ms()

    def start(self, body):
        task, run, deadline = body["task"], body["run-id"], body["deadline-ms"]
        if deadline <= self.clock_ms():
            return 409, "late"
        self.extend(deadline)
        own = self.running.get(task)
        if own and own["run"] == run:
            return 200, None
        if own or run <= self.highest.get(task, 0):
            return 409, "old"
        work = json.loads(body["spec"])
        now = self.clock_ms()
        resumed = int(body.get("checkpoint", "")[:16] or "0", 16)
        self.running[task] = {
            "run": run,
            "size": work.get("checkpoint", 0),
            "resumed": resumed,
            "started": now,
            "done_at": now + max(0, work["ms"] - resumed),
            "how": "failed" if run in work.get("fails", []) else "done",
            "stop_at": None,
        }
        self.note("start", task=task, run=run, spec=body["spec"])
        return 200, None

    def stop(self, body):
        task, run = body["task"], body["run-id"]
        own = self.running.get(task)
        if own and own["run"] <= run:
            own["stop_at"] = own["stop_at"] or self.clock_ms() + STOP_MS
        elif not own:
            self.highest[task] = max(self.highest.get(task, 0), run)
        self.note("stop", task=task, run=run)
        return 200, None

    def hold(self, body):
        cursor = body.get("ack-cursor", 0)
        for number, task, run, how, _ in self.finished:
            if number <= cursor:
                self.note("acknowledged", task=task, run=run, how=how, number=number)
        self.finished = [row for row in self.finished if row[0] > cursor]
        if body.get("deadline-ms"):
            self.extend(body["deadline-ms"])
        until = time.monotonic() + min(body.get("wait-ms", 0), 2_000) / 1000
        while not self.finished and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = self.clock_ms()
        running = []
        for task, run in self.running.items():
            whole = max(run["done_at"] - run["started"], 1)
            running.append([task, run["run"], self.checkpoint(run), min(99, (now - run["started"]) * 100 // whole), 0])
        return {"running": running, "finished": self.finished[:MAX_ENDS], "born": self.born}

    def call(self, path, headers, body):
        expected = headers.get("X-Expected-Instance")
        with self.lock:
            self.advance()
            if expected and expected != self.options["id"]:
                return 421, {"clock-ms": self.clock_ms()}
            if body.get("fencing-token", 0) < self.token:
                return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
            self.token = max(self.token, body.get("fencing-token", 0))
            if path == "/-/hold":
                lists = self.hold(body)
                return 200, {"clock-ms": self.clock_ms(), **lists}
            handler = {"/-/run-start": self.start, "/-/run-stop": self.stop}.get(path)
            if not handler:
                return 404, {}
            status, reason = handler(body)
            answer = {"clock-ms": self.clock_ms()}
            if reason:
                answer["reason"] = reason
                self.note("refused", task=body["task"], run=body["run-id"], reason=reason)
            return status, answer

    def beat(self):
        self.sequence += 1
        self.draining = os.path.exists(self.options["drain"])
        body = {
            "service": self.options["service"], "address": self.options["address"], "zone": "a",
            "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
            "cold-left-ms": 0, "capacity": {"cpu": 32000, "mem-mb": 131072, "gpu": 8},
            "labels": ["a", self.options["rack"]], "clock-ms": self.clock_ms(),
            "sequence": self.sequence, "born": self.born,
        }
        if self.draining:
            body["remaining-ms"] = REMAINING_MS
        host, port = self.options["control"].split(":")
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            path = "/-/Instances.Heartbeat/" + self.options["id"]
            connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
            connection.getresponse().read()
            connection.close()
        except OSError:
            pass

    def beat_forever(self):
        while True:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def advance_forever(self):
        while True:
            with self.lock:
                self.advance()
            time.sleep(TICK_S)


def main():
    worker = Worker(json.loads(sys.argv[1]))

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
            status, answer = worker.call(self.path, self.headers, body)
            text = json.dumps(answer).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        def log_message(self, *_):
            pass

    host, port = worker.options["address"].split(":")
    ThreadingHTTPServer.request_queue_size = 64
    ThreadingHTTPServer.daemon_threads = True
    ThreadingHTTPServer.allow_reuse_address = True
    server = ThreadingHTTPServer((host, int(port)), Handler)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    worker.note("up", id=worker.options["id"])
    threading.Thread(target=worker.advance_forever, daemon=True).start()
    threading.Thread(target=worker.beat_forever, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
