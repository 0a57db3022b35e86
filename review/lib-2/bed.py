"""Test bed of the cases 6 to 10: the project's own programs as processes, with stand-ins of the
platform's store, the workers and the clients. Only the standard library of Python is used.

The bed binds loopback addresses only, keeps its files in a temporary folder, and ends every process
that it started. What was sent, answered and run goes to `record.txt` beside the script.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
TARGET = os.path.join(ROOT, "target", "release")
HOST = "nony24.example"
PREFIX = "/lohu930/"
KEY = "key-ana-1"
SERVICE = "huvo11a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_HOLD_S = 12
ROW_BYTES = 65_536
# Those of demands/fraserledger-desk-grown.toml that the programs read or the cases rely on.
BOUNDS = """hold-max-ms = 10000
stop-timeout-ms = 900
gang-timeout-ms = 4000
cancel_ms = 4000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
drain-ms = 4000
grace-s = 6
config-apply-ms = 4000
rollback-slack-ms = 250
revoke-ms = 5000
contact-ms = 5000
"""


class NotRun(Exception):
    """The case could not run."""


def serve(address, answer):
    """Starts an HTTP server whose `answer` takes method, path, headers and body."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def handle_any(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            result = answer(self.command, self.path, self.headers, body)
            if result is None:
                self.close_connection = True
                return
            status, text = result
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)
            except OSError:
                self.close_connection = True

        do_GET = do_POST = do_DELETE = do_PUT = handle_any

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, *_):
            pass

    server = Server(address, Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: rows with versions from one counter, atomic and linearizable."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.begin = time.monotonic()
        self.fault = None  # called with method, path and body; may answer instead of the store
        self.server = serve(address, self.answer)

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000)

    def stamp(self, fields):
        return json.dumps({**fields, "ver": self.version, "now-ms": self.now_ms()}).encode()

    def write(self, table, part, key, value):
        """Writes a row as the operator does; `None` removes it."""
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, value)
            self.lock.notify_all()
            return self.version

    def answer(self, method, path, headers, body):
        if self.fault:
            result = self.fault(method, path, body)
            if result is not None:
                return result if result != "lost" else None
        return self.apply(path, body)

    def apply(self, path, body):
        url = urlparse(path)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        with self.lock:
            if url.path == "/-/rows-tx":
                return self.transact(json.loads(body))
            if url.path == "/-/rows-get":
                return self.read(query)
            if url.path == "/-/rows-feed":
                return self.feed(query)
        return 404, b"{}"

    def wire(self, row, deleted=False):
        table, part, key = row
        version, value = self.rows.get(row, (0, None))
        fields = {"table": table, "part": part, "key": key, "ver": version if value or deleted else 0}
        if value is not None:
            fields["value"] = base64.b64encode(value).decode()
        elif deleted:
            fields["deleted"] = True
        return fields

    def transact(self, call):
        def name(row):
            return (row["table"], row.get("part", ""), row["key"])

        def current(row):
            version, value = self.rows.get(row, (0, None))
            return version if value is not None else 0

        expected = call.get("expected-rev", [])
        entries = expected + call.get("writes", []) + call.get("remove", [])
        if len(entries) > 100 or len({row.get("part", "") for row in entries}) > 1:
            return 400, b"{}"
        if any(len(base64.b64decode(row["value"])) > ROW_BYTES for row in call.get("writes", [])):
            return 400, b"{}"
        if any(row["table"] in ("op", "servers") for row in call.get("writes", [])):
            return 403, b"{}"
        if any(current(name(row)) != row["ver"] for row in expected):
            return 412, self.stamp({"rows": [self.wire(name(row)) for row in expected]})
        self.version += 1
        for row in call.get("writes", []):
            self.rows[name(row)] = (self.version, base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            self.rows[name(row)] = (self.version, None)
        self.lock.notify_all()
        return 200, self.stamp({})

    def read(self, query):
        table, part = query.get("table"), query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            row for row, (_, value) in self.rows.items()
            if row[0] == table and row[1] == part and row[2] >= first
            and (not last or row[2] < last) and value is not None
        )
        rows = [self.wire(row) for row in names[:limit]]
        return 200, self.stamp({"rows": rows, "more-pages": len(names) > limit})

    def feed(self, query):
        table, after = query.get("table"), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
        while True:
            changed = [
                (version, row) for row, (version, _) in self.rows.items()
                if row[0] == table and version > after
            ]
            left = until - time.monotonic()
            if changed or left <= 0:
                rows = [self.wire(row, deleted=True) for _, row in sorted(changed)]
                return 200, self.stamp({"rows": rows})
            self.lock.wait(left)


class Proxy:
    """Forwards calls to a worker. `rule` gets path and body of a call, and may return the seconds for
    which the call is held, or an event that ends the hold: its caller gets no answer, and the worker
    gets the call that much later."""

    def __init__(self, bed, address, target):
        self.bed, self.target, self.rule = bed, target, None
        self.server = serve(address, self.answer)

    def forward(self, path, headers, body, timeout):
        host, port = self.target.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            kept = {name: value for name, value in headers.items()
                    if name.lower() in ("content-type", "x-expected-instance")}
            connection.request("POST", path, body, kept)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def answer(self, _method, path, headers, body):
        held = self.rule(path, json.loads(body)) if self.rule else None
        if held is None:
            try:
                return self.forward(path, headers, body, 5)
            except (OSError, http.client.HTTPException):
                return None
        call = json.loads(body)
        begin = time.monotonic()
        self.bed.note("held", path=path, call=call)
        if isinstance(held, threading.Event):
            held.wait(MAX_HOLD_S)
        else:
            time.sleep(held)
        late_s = round(time.monotonic() - begin, 3)
        try:
            status, text = self.forward(path, headers, body, 5)
            self.bed.note("delivered late", late_s=late_s, path=path, call=call, status=status, answer=text.decode())
        except (OSError, http.client.HTTPException) as error:
            self.bed.note("not delivered", path=path, call=call, error=str(error))
        return None


class Bed:
    def __init__(self, script, entries=2, workers=2):
        self.dir = tempfile.mkdtemp(prefix="case-")
        self.folder = os.path.dirname(os.path.abspath(script))
        self.begin = time.monotonic()
        self.events_file = os.path.join(self.dir, "events")
        open(self.events_file, "w").close()
        self.notes, self.notes_lock = [], threading.Lock()
        self.children, self.reserved = {}, []
        self.base = os.getpid()
        self.store = Store(self.address(1))
        self.entries, self.workers = [], []
        self.config_version = 0
        self.plan(entries, workers)

    # Addresses

    def ip(self, number):
        return f"127.{100 + self.base // 250 % 100}.{1 + self.base % 250}.{number}"

    def address(self, number):
        ip = self.ip(number)
        listener = socket.socket()
        listener.bind((ip, 0))
        port = listener.getsockname()[1]
        listener.close()
        while (ip, port) in self.reserved:
            return self.address(number)
        self.reserved.append((ip, port))
        return ip, port

    @staticmethod
    def text(address):
        return f"{address[0]}:{address[1]}"

    # Processes

    def plan(self, entries, workers):
        names = [("entry", 10 + number) for number in range(entries)]
        names += [("agent", 50 + number) for number in range(workers)]
        peers = [self.address(number) for _, number in names]
        seeds = ", ".join(f'"{self.text(peer)}"' for peer in peers[:min(entries, 3)])
        for (role, number), peer in zip(names, peers):
            first, second, third = (self.address(number) for _ in range(3))
            name = f"{role}-{number}"
            lines = [
                f'node-name = "{name}"', f'ip = "{self.ip(number)}"', f'zone = "z{number % 3}"',
                f"port-range = [{peer[1]}, {peer[1]}]", f"seeds = [{seeds}]",
            ]
            if role == "entry":
                listen = [f'front = "{self.text(first)}"', f'readiness = "{self.text(second)}"']
                self.entries.append({"name": name, "front": first, "readiness": second})
            else:
                listen = [f'control = "{self.text(first)}"']
                lines += [f'app = "{self.text(second)}"', f'service = "{SERVICE}"']
                worker = {
                    "name": f"worker-{number}", "agent": name, "app": self.text(third),
                    "control": self.text(first), "id": f"i-{number}", "rack": f"r{len(self.workers) // 3}",
                }
                worker["proxy"] = Proxy(self, second, worker["app"])
                self.workers.append(worker)
            lines += ["[listen-addrs]"] + listen + ["[bounds]", BOUNDS, "[platform]"]
            lines += [f'address = "{self.text(self.store.server.server_address)}"']
            with open(os.path.join(self.dir, name + ".toml"), "w") as file:
                file.write("\n".join(lines) + "\n")

    def start(self, name):
        program = os.path.join(TARGET, "platform-" + name.split("-")[0])
        if not os.path.exists(program):
            raise NotRun(f"{program} is not built")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PERSIMMONDRIFT_SETTINGS"] = os.path.join(self.dir, name + ".toml")
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.children[name] = subprocess.Popen(
            [program], env=env, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.note("process started", name=name)

    def start_worker(self, worker, skew_ms=0):
        options = {
            "address": worker["app"], "control": worker["control"], "id": worker["id"],
            "service": SERVICE, "rack": worker["rack"], "events": self.events_file,
            "name": worker["name"], "drain": self.drain_file(worker),
            "skew_ms": skew_ms,
        }
        self.children[worker["name"]] = subprocess.Popen(
            [sys.executable, os.path.join(LIB, "worker.py"), json.dumps(options)],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        self.note("worker started", name=worker["name"], id=worker["id"], skew_ms=skew_ms)

    def drain_file(self, worker):
        return os.path.join(self.dir, worker["name"] + ".drain")

    def drain(self, worker):
        """Lets a worker say with its next heartbeat that it drains."""
        self.note("drain", name=worker["name"])
        open(self.drain_file(worker), "w").close()

    def signal(self, name, number):
        self.note("signal", name=name, signal=signal.Signals(number).name)
        self.children[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.children[name].wait()

    def start_all(self):
        self.write_config()
        for entry in self.entries:
            self.start(entry["name"])
        for worker in self.workers:
            self.start_worker(worker)
            self.start(worker["agent"])
        self.wait(20, "entries are ready", lambda: all(map(self.is_ready, self.entries)))
        # A worker takes work once its agent has heard and polled it.
        time.sleep(4)

    def is_ready(self, entry):
        try:
            return self.http(entry["readiness"], "GET", "/-/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def wait(self, limit_s, what, check):
        until = time.monotonic() + limit_s
        while True:
            found = check()
            if found:
                return found
            if time.monotonic() > until:
                raise NotRun(f"not in time: {what}")
            time.sleep(0.02)

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()

    # Operator and clients

    def write_config(self, attempts=2, keys=(KEY,), priority=0):
        self.config_version += 3
        config = {
            "version": self.config_version,
            "routes": [{
                "name": "r-work", "host": HOST, "path-prefix": PREFIX, "kind": "unsafe",
                "timeout-ms": 3000, "target-latency-ms": 1500, "priority": priority,
                "service": SERVICE, "max-attempts": attempts, "stretch": 3.0, "public": False,
            }],
            "services": [{"name": SERVICE, "health-path": "/healthz", "max-conns": 64,
                          "protocol": "h1", "tls": False, "rejects-overload": False, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
            "tenants": [{"name": "ana", "api-keys": list(keys), "guaranteed": {"gpu": 8}}],
        }
        self.store.write("op", "", "config", json.dumps(config).encode())
        self.note("config", version=self.config_version, attempts=attempts)

    def http(self, address, method, path, body=None, headers=None, timeout=4):
        connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def client(self, method, job="", entry=0, body=None, deadline_ms=3000):
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY, "X-Deadline-Ms": str(deadline_ms),
                   "Content-Type": "application/json"}
        text = json.dumps(body) if body is not None else None
        sent = time.monotonic()
        try:
            address = self.entries[entry]["front"]
            status, answer = self.http(address, method, PREFIX + job, text, headers, deadline_ms / 1000)
        except (OSError, http.client.HTTPException) as error:
            status, answer = None, str(error).encode()
        self.note("call", method=method, job=job, entry=self.entries[entry]["name"], body=body,
                  status=status, answer=answer.decode(errors="replace"),
                  took_ms=int((time.monotonic() - sent) * 1000))
        return status, answer

    def submit(self, job, steps, spec, entry=0):
        body = {"spec": json.dumps(spec), "steps": steps}
        for turn in range(20):
            status, _ = self.client("POST", job, (entry + turn) % len(self.entries), body)
            if status == 200:
                return time.monotonic()
            time.sleep(0.3)
        raise NotRun("the job was not accepted")

    def state(self, job, entry=0):
        status, answer = self.client("GET", job, entry)
        return json.loads(answer).get("state") if status == 200 else status

    # Record

    def note(self, what, **fields):
        with self.notes_lock:
            self.notes.append({"at": time.monotonic(), "what": what, **fields})

    def events(self, what=None, task=None):
        found = []
        with open(self.events_file) as file:
            for line in file:
                if line.endswith("\n"):
                    event = json.loads(line)
                    if what in (None, event["what"]) and task in (None, event.get("task")):
                        found.append(event)
        return found

    def record(self, verdict):
        with self.notes_lock:
            lines = list(self.notes)
        lines = sorted(lines + self.events(), key=lambda line: line["at"])
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            file.write(f"TROUBLE={int(TROUBLE)}\n")
            for line in lines:
                at, what = line.pop("at"), line.pop("what")
                fields = " ".join(f"{key}={json.dumps(value)}" for key, value in line.items())
                file.write(f"{at - self.begin:8.3f} {what} {fields}\n")
            file.write(verdict + "\n")


def run(script, case, entries=2, workers=2):
    """Runs a case, a function that returns the broken rule in words or `None`, and exits."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        bed = Bed(script, entries, workers)
    except OSError as error:
        print("not run:", error)
        sys.exit(NOT_RUN)
    try:
        bed.start_all()
        broken = case(bed)
        code, verdict = (BROKEN, "broken: " + broken) if broken else (HELD, "held")
    except (NotRun, OSError) as error:
        code, verdict = NOT_RUN, f"not run: {error}"
    finally:
        bed.close()
    bed.record(verdict)
    print(verdict)
    if os.environ.get("KEEP_LOGS"):
        print(bed.dir)
    else:
        shutil.rmtree(bed.dir, ignore_errors=True)
    sys.exit(code)
