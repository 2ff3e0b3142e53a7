"""Stand-ins and helpers for the cases of the review.

Starts the daemon by the run line of deploy/system.toml with its settings
template, beside a store and replicas that follow PROTOCOL.md. Everything
listens on loopback addresses and on ports that were free. Environment:
BAMBOORUDDERD, another daemon than that of the run line (a path, from the root
of the repository); RECORD_DIR, another folder for record.txt.
"""
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
PREFIX = "X-Bamboorudder-"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds and limits of the small installation hsgw-router.
BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "strict_revocation": True, "revoke_ms": 5000,
    "stable_window_ms": 3000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 58, "iteration_ms": 120,
}
CONFIG_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                 "tokens_per_s": 520000}
MACHINE_LIMITS = {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 110,
                  "max_fds": 4100}


class CannotRun(Exception):
    """The case can't be run here; its script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, case_dir):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        folder = os.environ.get("RECORD_DIR", case_dir)
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, *words):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start,
                                            " ".join(str(w) for w in words)))
            self.file.flush()


def free_ports(count):
    """@return ports that were free, each once"""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


# ---------------------------------------------------------------- HTTP


class Head:
    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.headers = [(n.strip(), v.strip()) for n, _, v in
                        (line.partition(":") for line in lines[1:] if line)]

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        """@return the next head, None if the channel ended before one"""
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                return None
        text, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        return Head(text.decode("latin-1"))

    def exactly(self, count):
        """@return the bytes, fewer if the channel ended"""
        while len(self.buffer) < count:
            if not self.fill():
                break
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                return None
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def body(self, head):
        """@return (bytes, whether the body is complete)"""
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            body = b""
            while True:
                line = self.line()
                if line is None:
                    return body, False
                size = int(line.split(b";")[0], 16)
                chunk = self.exactly(size)
                body += chunk
                if len(chunk) < size or self.line() is None:
                    return body, False
                if size == 0:
                    return body, True
        length = int(head.get("Content-Length") or 0)
        body = self.exactly(length)
        return body, len(body) == length


class Server:
    """Accepts channels, and handles each on a thread of its own."""

    def __init__(self, ip="127.0.0.1"):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, 0))
        self.sock.listen(512)
        self.address = "%s:%d" % self.sock.getsockname()
        self.open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.guard, args=(sock,),
                             daemon=True).start()

    def guard(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def serve(self, sock):
        raise NotImplementedError

    def close(self):
        self.open = False
        self.sock.close()


# ---------------------------------------------------------------- store


class Store(Server):
    """The platform's store: lists in pages, and watches."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, object, deleted, moment)
        self.retention_s = 20
        self.dropped = 0  # the last revision that is gone from the history
        self.page = 500
        self.stale_page = None  # hook: (kind, page index) -> objects, at
        super().__init__()

    def put(self, kind, name, spec):
        """@return the moment of the acknowledgement"""
        with self.changed:
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision,
                                 "created": 1, "finalizers": [],
                                 "deletion_pending": False},
                    "spec": spec, "status": None}
            self.objects[kind, name] = item
            self.events.append((self.revision, kind, item, False,
                                time.monotonic()))
            self.changed.notify_all()
            return time.monotonic()

    def remove(self, kind, name):
        with self.changed:
            self.revision += 1
            item = self.objects.pop((kind, name))
            self.events.append((self.revision, kind, item, True,
                                time.monotonic()))
            self.changed.notify_all()
            return time.monotonic()

    def named(self, kind):
        return {n: o for (k, n), o in sorted(self.objects.items())
                if k == kind}

    def list_page(self, kind, query):
        after = query.get("after", "")
        objects, at = self.named(kind), self.revision
        if query.get("allow_stale") and self.stale_page:
            objects, at = self.stale_page(kind, after, objects, at)
        names = [n for n in sorted(objects) if n > after]
        return {"entries": [objects[n] for n in names[:self.page]],
                "has_more": len(names) > self.page, "at": at}

    def watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            while self.events and self.events[0][4] < time.monotonic() - \
                    self.retention_s:
                self.dropped = self.events.pop(0)[0]
            if since < self.dropped:
                return None
            found = [{"object": o, "deleted": d}
                     for r, k, o, d, _ in self.events
                     if k == kind and r > since]
            left = until - time.monotonic()
            if found or left <= 0:
                return {"events": found, "at": self.revision}
            self.changed.wait(left)

    def answer(self, head):
        """@return (status line, body)"""
        url = urllib.parse.urlsplit(head.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        kind = url.path.split("/")[2]
        with self.changed:
            answer = (self.watch(kind, query) if "watch" in query
                      else self.list_page(kind, query))
        if answer is None:
            return b"410 Gone", b"{}"
        return b"200 OK", json.dumps(answer).encode()

    def serve(self, sock):
        reader = Reader(sock)
        while (head := reader.head()) is not None:
            reader.body(head)
            status, body = self.answer(head)
            sock.sendall(b"HTTP/1.1 " + status +
                         b"\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class StoreDoor(Server):
    """Another address of the store, which can turn its callers away."""

    def __init__(self, store):
        self.store = store
        self.away = False
        super().__init__()

    def serve(self, sock):
        reader = Reader(sock)
        while (head := reader.head()) is not None:
            reader.body(head)
            status, body = self.store.answer(head)
            if self.away:
                status, body = b"503 Service Unavailable", b"{}"
            sock.sendall(b"HTTP/1.1 " + status +
                         b"\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


# ---------------------------------------------------------------- replicas


class Replica(Server):
    """A replica: runs a request for work_s and answers with `answer` bytes."""

    def __init__(self, record, name, backend, zone="zone-a", work_s=0.01,
                 answer=b"done", slots=64):
        self.record = record
        self.name = name
        self.backend = backend
        self.zone = zone
        self.work_s = work_s
        self.answer = answer
        self.slots = slots
        self.extra_headers = []
        self.runs = []  # (moment, request id, tenant)
        self.lock = threading.Lock()
        super().__init__()

    def entry(self, phase="ready"):
        return {"backend": self.backend, "address": self.address,
                "zone": self.zone, "version": "v1",
                "batch_slots": self.slots, "phase": phase,
                "warmup_remaining_ms": 0, "sequence": 1,
                "born": 1700000000000}

    def respond(self, sock, status, headers, body):
        lines = ["HTTP/1.1 %s" % status] + ["%s: %s" % h for h in headers]
        lines.append("Content-Length: %d" % len(body))
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def serve(self, sock):
        reader = Reader(sock)
        while (head := reader.head()) is not None:
            _, complete = reader.body(head)
            if not complete:
                return
            request_id = head.get(PREFIX + "Request-Id")
            expected = head.get(PREFIX + "Expect-Replica")
            if expected is not None and expected != self.name:
                self.respond(sock, "421 Misdirected Request",
                             [(PREFIX + "Replica-Id", self.name)], b"")
                continue
            if request_id is None:
                self.respond(sock, "400 Bad Request",
                             [(PREFIX + "Not-Executed", "1")], b"")
                continue
            with self.lock:
                self.runs.append((time.monotonic(), request_id,
                                  head.get(PREFIX + "Tenant")))
            self.record.add("replica", self.name, "runs", request_id,
                            "tenant", head.get(PREFIX + "Tenant"))
            time.sleep(self.work_s)
            self.respond(sock, "200 OK", [
                (PREFIX + "Request-Id", request_id),
                (PREFIX + "Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("Content-Type", "application/json"),
            ] + self.extra_headers, self.answer)
            self.record.add("replica", self.name, "answered", request_id)

    def ran(self, request_id):
        with self.lock:
            return sum(1 for _, i, _ in self.runs if i == request_id)


# ---------------------------------------------------------------- daemons


def lookup(scopes, path):
    if path == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and \
                    int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, scopes, comma=""):
    """Fills in a settings template as DEPLOY.md tells."""
    text, position = "", 0
    tag = re.compile(r"\{\{([#^]?)([^{}]*)\}\}")
    while (match := tag.search(template, position)) is not None:
        text += template[position:match.start()]
        kind, name = match.groups()
        position = match.end()
        if name == ",":
            text += comma
        elif kind == "":
            value = lookup(scopes, name)
            if isinstance(value, bool):
                value = "true" if value else "false"
            text += "" if value is None else str(value)
        else:
            close = "{{/%s}}" % name
            end = template.index(close, position)
            inner, position = template[position:end], end + len(close)
            value = lookup(scopes, name)
            if kind == "^":
                if value is None or value is False:
                    text += render(inner, scopes)
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    text += render(inner, [item] + scopes,
                                   "," if i + 1 < len(value) else "")
            elif value is not None and value is not False:
                text += render(inner, scopes)
    return text + template[position:]


class Daemon:
    """A daemon, started by the run line of the deploy file."""

    def __init__(self, record, store, folder, index, seeds=None,
                 zone="zone-a"):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["edge"]
        self.command = role["run"].split(" ")
        if "BAMBOORUDDERD" in os.environ:
            self.command[0] = os.environ["BAMBOORUDDERD"]
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("there is no %s, run the build line of "
                            "deploy/system.toml" % self.command[0])
        self.record = record
        self.name = "daemon-%d" % index
        ports = free_ports(5)
        self.frontend = "127.0.0.1:%d" % ports[0]
        self.readiness = "127.0.0.1:%d" % ports[1]
        self.control = "127.0.0.1:%d" % ports[2]
        fields = {
            "ip": "127.0.0.1", "zone": zone,
            "listen": {"frontend": self.frontend, "readiness": self.readiness,
                       "control_plane": self.control},
            "internal_ports": [ports[3], ports[4]],
            "seed_nodes": (seeds or []) + [self.control],
            "limits": MACHINE_LIMITS, "bounds": BOUNDS,
            "platform": {"address": store.address},
        }
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), [fields])
        self.settings = os.path.join(folder, self.name + ".toml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C",
                 "BAMBOORUDDER_CONFIG": self.settings})
        self.record.add(self.name, "started")

    def ready(self):
        try:
            status, _, _ = call(self.readiness, "GET", "/readyz", timeout_s=1)
            return status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.ready():
                self.record.add(self.name, "is ready")
                return
            time.sleep(0.1)
        raise CannotRun("%s did not become ready" % self.name)

    def signal(self, number):
        self.record.add(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


# ---------------------------------------------------------------- clients


def connect(address, timeout_s=20, mss=None, receive_buffer=None):
    host, port = address.split(":")
    sock = socket.socket()
    sock.settimeout(timeout_s)
    if mss is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect((host, int(port)))
    return sock


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % h for h in headers]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(address, method, path, headers=(), body=b"", timeout_s=20):
    """@return (status, head, body); status 0 if the channel ended early"""
    sock = connect(address, timeout_s)
    try:
        sock.sendall(request_bytes(method, path,
                                   [("Host", "x")] + list(headers)
                                   if not any(n == "Host" for n, _ in headers)
                                   else list(headers), body))
        return read_answer(Reader(sock))
    finally:
        sock.close()


def read_answer(reader):
    """@return (status, head, body); status 0 if the answer isn't complete"""
    try:
        head = reader.head()
        if head is None:
            return 0, None, b""
        body, complete = reader.body(head)
    except ConnectionError:
        return 0, None, b""
    return (int(head.first.split(" ")[1]) if complete else 0), head, body


# ---------------------------------------------------------------- a case


def route(name, path, kind, backend, timeout_ms, host="shop.example",
          attempts=1, anonymous=False):
    return {"name": name, "hostname": host, "path_prefix": path,
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "priority": 2, "backend": backend,
            "max_attempts": attempts, "anonymous": anonymous,
            "session_affinity": False, "stream_resume": False}


def configuration(version, routes, backends, tenants):
    return {"version": version, "routes": routes,
            "backends": [{"name": b, "health_path": "/healthz",
                          "max_connections": 310, "protocol": "h1",
                          "tls": False} for b in backends],
            "limits": CONFIG_LIMITS, "tenants": tenants}


def main(case_dir, run):
    """Runs a case in a temporary folder. run(record, folder, started) returns
    True if the rule held, and adds what it starts to `started`."""
    record = Record(case_dir)
    started = []
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = run(record, folder, started)
            status = 0 if held else 1
            record.add("the rule", "held" if held else "was BROKEN")
            print("the rule held" if held else "the rule was broken")
        except (CannotRun, OSError) as error:
            record.add("can't run:", error)
            print("can't run: %s" % error)
        finally:
            for item in started:
                if isinstance(item, Daemon):
                    item.kill()
                else:
                    item.close()
            if os.environ.get("SHOW_LOGS"):
                for name in sorted(os.listdir(folder)):
                    print("==", name)
                    with open(os.path.join(folder, name)) as file:
                        print(file.read())
    sys.stdout.flush()
    os._exit(status)
