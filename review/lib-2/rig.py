"""Small stand-ins for the platform's store, replicas and clients, and real daemons.

Everything listens on loopback addresses. Each daemon has an address of its own, a
port of the store of its own (so that it can be cut off alone), and the settings that
deploy/daemon.toml gives for a small installation.
"""
import http.client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/bamboorudderd/bamboorudderd"
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
SECOND_KEY = "mdejk7f92bqurzecqvkd"
TENANT = "hule930"


class CannotRun(Exception):
    """The case could not be set up."""


def now_ms():
    return time.monotonic() * 1000


def free_port():
    """Returns a port that is free on all loopback addresses at this moment."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP, server side
class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Channel:
    """A connection that a stand-in serves."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_head(self):
        """Returns the next request without its body, or None at the end."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._fill():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return Request(method, target, headers, b"")

    def read_body(self, request):
        length = int(request.get("content-length", "0") or 0)
        while len(self.buffer) < length:
            if not self._fill():
                return False
        request.body, self.buffer = self.buffer[:length], self.buffer[length:]
        return True

    def read_request(self):
        request = self.read_head()
        if request is None or not self.read_body(request):
            return None
        return request

    def send(self, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             b"\x01\0\0\0\0\0\0\0")
        self.sock.close()


class Server:
    """Accepts connections, each served by a thread."""

    def __init__(self, address, serve):
        self.address, self.serve = address, serve
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(512)
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self.serve(Channel(sock))
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def close(self):
        self.closed = True
        self.listener.close()


# ---------------------------------------------------------------- the platform's store
class Store:
    """Objects by kind and name, with lists and watches."""

    def __init__(self):
        self.lock = threading.Condition()
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        self.revision = 100
        self.era = 1

    def put(self, kind, name, spec):
        """Writes an object. Returns when the store has accepted it."""
        with self.lock:
            old = self.objects.get((kind, name))
            if old is not None and old["spec"] == spec:
                return
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision,
                                 "created": 1, "finalizers": [],
                                 "deletion_pending": False},
                    "spec": spec, "status": None}
            self.objects[kind, name] = item
            self.events.append((self.revision, kind, item, False))
            self.lock.notify_all()

    def remove(self, kind, name):
        with self.lock:
            item = self.objects.pop((kind, name), None)
            if item is None:
                return
            self.revision += 1
            self.events.append((self.revision, kind, item, True))
            self.lock.notify_all()

    def copy(self):
        with self.lock:
            return dict(self.objects), list(self.events), self.revision

    def restore(self, copy):
        """Goes back to a copy, as in a drill."""
        with self.lock:
            self.objects, self.events, self.revision = (dict(copy[0]),
                                                        list(copy[1]), copy[2])
            self.era += 1
            self.lock.notify_all()

    def listing(self, kind, after):
        with self.lock:
            entries = [item for (k, name), item in sorted(self.objects.items())
                       if k == kind and name > after]
            return {"entries": entries, "has_more": False, "at": self.revision}

    def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.lock:
            era = self.era
            while True:
                if self.era != era or since > self.revision:
                    return 410, {}
                found = [{"object": item, "deleted": deleted}
                         for revision, k, item, deleted in self.events
                         if k == kind and revision > since]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                self.lock.wait(left)


class StorePort:
    """The store as one daemon reaches it."""

    def __init__(self, store, address):
        self.store = store
        self.mode = "ok"
        self.server = Server(address, self._serve)

    def _serve(self, channel):
        while True:
            request = channel.read_request()
            if request is None:
                return
            if self.mode == "silent":
                time.sleep(30)
                return
            path, _, query = request.target.partition("?")
            values = dict(re.findall(r"([a-z_]+)=([^&]*)", query))
            kind = path.split("/")[2]
            era = self.store.era
            if self.mode == "busy":
                status, answer = 503, {}
            elif "watch" in values:
                status, answer = self.store.watch(
                    kind, int(values["watch"]), int(values.get("wait_ms", 0)))
                if self.mode == "silent":
                    time.sleep(30)
                    return
            else:
                status, answer = 200, self.store.listing(kind, values.get("after", ""))
            channel.send(status, [("Content-Type", "application/json"),
                                  ("Store-Era", era)], json.dumps(answer).encode())


# ---------------------------------------------------------------- replicas
class Replica:
    """A sound replica of a service. `behave` may answer otherwise."""

    def __init__(self, store, name, address, service, zone, work_ms=15, slots=48,
                 behave=None):
        self.store, self.name, self.address = store, name, address
        self.service, self.zone, self.work_ms = service, zone, work_ms
        self.slots = slots
        self.behave = behave
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs = []  # (ms, request id, request)
        self.warmup_ms = 0
        self.phase = "ready"
        self.sequence = 0
        self.server = Server(address, self._serve)
        self.beat()

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "backend": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "batch_slots": self.slots,
            "phase": self.phase, "warmup_remaining_ms": self.warmup_ms,
            "phase_kind": "mixed", "models": [], "sequence": self.sequence,
            "born": self.born})

    def record(self, request):
        with self.lock:
            self.runs.append((now_ms(), request.get("x-bamboorudder-request-id"),
                              request))

    def headers(self, request):
        return [("X-Bamboorudder-Request-Id",
                 request.get("x-bamboorudder-request-id")),
                ("X-Bamboorudder-Replica-Signature", f"{self.name}.1"),
                ("X-Bamboorudder-Replica-Load", f"1,0,{self.slots}")]

    def _serve(self, channel):
        while True:
            request = channel.read_request()
            if request is None:
                return
            expected = request.get("x-bamboorudder-expect-replica", self.name)
            if expected != self.name:
                channel.send(421, [("X-Bamboorudder-Replica-Id", self.name)])
                continue
            if self.behave is not None and self.behave(self, channel, request):
                return
            self.record(request)
            time.sleep(self.work_ms / 1000)
            body = f"{self.name} {request.get('x-bamboorudder-request-id')} ".encode()
            channel.send(200, self.headers(request), body * 20)


# ---------------------------------------------------------------- daemons
def render(text, values, item=None):
    """Fills in a template as the platform does."""
    def look_up(name):
        if name == ".":
            return item
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1])
        if value is None or value is False or value == []:
            return ""
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(render(match[2].replace("{{,}}", "" if i == last else ","),
                                  values, entry) for i, entry in enumerate(value))
        return render(match[2], values)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(look_up(match[1]) or ""), text)


BOUNDS = {"drain_ms": 2000, "revoke_ms": 5000, "strict_revocation": True,
          "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
          "iteration_ms": 120, "grace_s": 8}


class Daemon:
    def __init__(self, rig, index, zone, bounds):
        self.rig, self.index, self.zone = rig, index, zone
        self.ip = f"127.0.1.{index}"
        self.store_port = StorePort(rig.store, (f"127.0.3.{index}", rig.ports["store"]))
        ports = rig.ports
        seeds = [f"127.0.1.{i}:{ports['control']}" for i in range(1, 4)]
        values = {
            "listen": {"frontend": f"{self.ip}:{ports['frontend']}",
                       "readiness": f"{self.ip}:{ports['readiness']}",
                       "control_plane": f"{self.ip}:{ports['control']}"},
            "ip": self.ip, "zone": zone, "seed_nodes": seeds,
            "internal_ports": [ports["internal"], ports["admin"]],
            "limits": {"cpu_quota": 0.25, "memory_mb": 110, "max_fds": 4100},
            "platform": {"address": f"127.0.3.{index}:{ports['store']}"},
            "bounds": {**BOUNDS, **bounds}}
        self.settings = rig.folder / f"daemon-{index}.toml"
        self.settings.write_text(
            render((ROOT / "deploy/daemon.toml").read_text(), values))
        self.log = open(rig.folder / f"daemon-{index}.log", "ab")
        self.process = None

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C",
                       "BAMBOORUDDER_CONFIG": str(self.settings)}
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                self.ip, self.rig.ports["readiness"], timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def metric(self, name):
        connection = http.client.HTTPConnection(self.ip, self.rig.ports["admin"],
                                                timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        found = re.search(rf"^{name}(?:\{{[^}}]*\}})? (\S+)$", text, re.M)
        return float(found[1]) if found else None

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


# ---------------------------------------------------------------- clients
class Answer:
    def __init__(self, status, headers, body, whole, taken_ms):
        self.status, self.headers, self.body = status, headers, body
        self.whole, self.taken_ms = whole, taken_ms

    def signed(self):
        return "x-bamboorudder-replica-signature" in self.headers


class Client:
    """A client's channel to a daemon."""

    def __init__(self, daemon):
        self.sock = socket.create_connection(
            (daemon.ip, daemon.rig.ports["frontend"]), timeout=1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, method, path, request_id, key=None, deadline_ms=1500, body=b"",
             headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Bamboorudder-Request-Id: {request_id}",
                 f"X-Bamboorudder-Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"X-Bamboorudder-Credential: {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.sent_ms = now_ms()
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _fill(self, until_ms):
        left = (until_ms - now_ms()) / 1000
        if left <= 0:
            raise TimeoutError
        self.sock.settimeout(left)
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def receive(self, wait_ms):
        """Returns the answer, or None if none comes in time or the channel ends."""
        until_ms = self.sent_ms + wait_ms
        try:
            while b"\r\n\r\n" not in self.buffer:
                if not self._fill(until_ms):
                    return None
        except (TimeoutError, OSError):
            return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body, whole = self._receive_body(headers, until_ms)
        return Answer(status, headers, body, whole, now_ms() - self.sent_ms)

    def _receive_body(self, headers, until_ms):
        try:
            if headers.get("transfer-encoding", "") == "chunked":
                return self._receive_chunks(until_ms)
            length = int(headers.get("content-length", "0"))
            while len(self.buffer) < length:
                if not self._fill(until_ms):
                    return self.buffer, False
            body, self.buffer = self.buffer[:length], self.buffer[length:]
            return body, True
        except (TimeoutError, OSError):
            return self.buffer, False

    def _receive_chunks(self, until_ms):
        body = b""
        while True:
            try:
                while b"\r\n" not in self.buffer:
                    if not self._fill(until_ms):
                        return body, False
                size, rest = self.buffer.split(b"\r\n", 1)
                size = int(size, 16)
                while len(rest) < size + 2:
                    if not self._fill(until_ms):
                        return body, False
                    rest = self.buffer.split(b"\r\n", 1)[1]
            except (TimeoutError, OSError):
                return body, False
            body, self.buffer = body + rest[:size], rest[size + 2:]
            if size == 0:
                return body, True

    def close(self):
        self.sock.close()


# ---------------------------------------------------------------- the whole
class Rig:
    def __init__(self, zones, bounds=None):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.store = Store()
        self.ports = {name: free_port() for name in (
            "frontend", "readiness", "control", "internal", "admin", "store", "replica")}
        self.replicas = []
        self.ids = itertools.count(1)
        self.daemons = [Daemon(self, i + 1, zone, bounds or {})
                        for i, zone in enumerate(zones)]
        self.beating = True
        threading.Thread(target=self._beat, daemon=True).start()

    def configure(self, version, routes, backends, keys):
        self.store.put("config", "main", {
            "version": version, "routes": routes, "backends": backends,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "tokens_per_s": 1400000},
            "tenants": [{"name": TENANT, "api_keys": keys, "priority": 1}]})

    def add_replica(self, service, zone, **options):
        index = len(self.replicas) + 1
        replica = Replica(self.store, f"i-{index:08x}",
                          (f"127.0.2.{index}", self.ports["replica"]), service, zone,
                          **options)
        self.replicas.append(replica)
        return replica

    def _beat(self):
        while self.beating:
            time.sleep(1.2)
            for replica in self.replicas:
                replica.beat()

    def start(self):
        for daemon in self.daemons:
            daemon.start()
        until = time.monotonic() + 20
        for daemon in self.daemons:
            while not daemon.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"daemon {daemon.index} does not become ready")
                time.sleep(0.1)
        time.sleep(3)

    def new_id(self):
        return f"{next(self.ids):016x}"

    def end(self):
        self.beating = False
        for daemon in self.daemons:
            daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms, attempts=1, resume=False,
          anonymous=False):
    return {"name": name, "hostname": HOST, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 100, "priority": 2,
            "backend": service, "max_attempts": attempts, "anonymous": anonymous,
            "session_affinity": False, "stream_resume": resume, "gap_aim_ms": 300}


def backend(name, cold_per_s=0.0, cold_start_s=0.0):
    return {"name": name, "health_path": "/healthz", "max_connections": 110,
            "protocol": "h1", "tls": False, "cold_start_s": cold_start_s,
            "cold_per_s": cold_per_s}


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began_ms = now_ms()

    def write(self, text):
        self.file.write(f"{(now_ms() - self.began_ms) / 1000:8.3f} s  {text}\n")
        self.file.flush()
        print(text, flush=True)

    def add(self, text):
        """Writes one of many lines, which are not printed."""
        self.file.write(f"    {text}\n")


def run_case(case, folder):
    """Runs case(record, trouble, hold), where hold(rig) hands over the rig for the
    clean-up. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
    not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rigs = []

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    code = 2
    try:
        broken = case(record, trouble, rigs.append)
        record.write("the rule is BROKEN" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, OSError) as error:
        record.write(f"could not run: {error}")
    finally:
        for rig in rigs:
            rig.end()
    raise SystemExit(code)
