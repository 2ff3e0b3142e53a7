"""A machine passes connections to a peer of its zone. The peer freezes. Requests on
those connections get no answer at their route's timeout, though the machine that the
clients are connected to runs all the while."""
import multiprocessing
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig as r

SERVICE = "xano55b"
PATH = "/cufi504/2f"
TIMEOUT_MS = 800  # of the route, as on the sheet of hsgw-router
DEADLINE_MS = 1500
SLACK_MS = 500
USUAL_PER_S = 400
PRESS_X = 9  # hot_tenant
PRESS_PROCESSES = 6
PRESS_THREADS = 12
PRESS_MAX_S = 8.0
CHANNELS = 200
CALM_S = 5.5
FREEZE_S = 4.0


def crowd(ip, port, factor, stop, served):
    """Clients that open a channel for each request."""
    interval_s = PRESS_PROCESSES * PRESS_THREADS / USUAL_PER_S

    def one():
        while not stop.is_set():
            began = time.monotonic()
            try:
                with socket.create_connection((ip, port), timeout=1) as sock:
                    sock.sendall((
                        f"GET {PATH} HTTP/1.1\r\nHost: {r.HOST}\r\n"
                        f"X-Bamboorudder-Request-Id: {time.monotonic_ns():016x}\r\n"
                        f"X-Bamboorudder-Deadline-Ms: {DEADLINE_MS}\r\n"
                        f"X-Bamboorudder-Credential: {r.KEY}\r\n\r\n").encode())
                    sock.settimeout(DEADLINE_MS / 1000)
                    if sock.recv(65536).startswith(b"HTTP/1.1 200"):
                        with served.get_lock():
                            served.value += 1
            except OSError:
                pass
            left = interval_s / factor.value - (time.monotonic() - began)
            if left > 0:
                time.sleep(left)

    threads = [threading.Thread(target=one, daemon=True)
               for _ in range(PRESS_THREADS)]
    for thread in threads:
        thread.start()
    stop.wait()


class Crowd:
    """The usual traffic of a client account, which may send many times as much."""

    def __init__(self, daemon):
        self.factor = multiprocessing.Value("i", 1)
        self.served = multiprocessing.Value("i", 0)
        self.stop = multiprocessing.Event()
        self.processes = [multiprocessing.Process(
            target=crowd, daemon=True,
            args=(daemon.ip, daemon.rig.ports["frontend"], self.factor, self.stop,
                  self.served)) for _ in range(PRESS_PROCESSES)]
        for process in self.processes:
            process.start()

    def end(self):
        self.stop.set()
        for process in self.processes:
            process.join(3)
            if process.is_alive():
                process.kill()


class User(threading.Thread):
    """A client that keeps its channel and sends a request each second."""

    def __init__(self, rig, daemon):
        super().__init__(daemon=True)
        self.rig, self.machine = rig, daemon
        self.open = False
        self.ending = False
        self.asked = []  # (sent ms, id, answer)

    def run(self):
        try:
            client = r.Client(self.machine)
            self.open = True
            while not self.ending:
                request_id = self.rig.new_id()
                client.send("GET", PATH, request_id, key=r.KEY,
                            deadline_ms=DEADLINE_MS)
                answer = client.receive(DEADLINE_MS)
                self.asked.append((client.sent_ms, request_id, answer))
                if answer is None or answer.headers.get("connection") == "close":
                    break
                time.sleep(1)
            client.close()
        except OSError:
            pass
        self.open = False


def pass_connections(record, rig, first, second, crowd_):
    """Lets the first machine pass connections on. Returns clients that keep theirs."""
    crowd_.factor.value = PRESS_X
    until = time.monotonic() + PRESS_MAX_S
    while time.monotonic() < until - 3 and \
            not first.metric("bamboorudder_handoffs_total"):
        time.sleep(0.2)
    users = [User(rig, first) for _ in range(CHANNELS)]
    for user in users:
        user.start()
        time.sleep(0.01)
    time.sleep(max(0, until - time.monotonic()))
    crowd_.factor.value = 1
    taken = second.metric("bamboorudder_handoffs_taken_total")
    record.write(f"machine 1 passed {first.metric('bamboorudder_handoffs_total'):.0f} "
                 f"connections on, machine 2 took {taken:.0f}")
    if not taken:
        raise r.CannotRun("no connection was passed on: the press was too light")
    return users


def judge(record, asked):
    """Tells whether the rule was broken, by what clients saw."""
    over = [item for item in asked
            if item[2] is None or item[2].taken_ms > TIMEOUT_MS]
    silent = [item for item in over
              if item[2] is None or item[2].taken_ms > TIMEOUT_MS + SLACK_MS]
    record.write(f"{len(asked)} requests on kept channels of machine 1 in the freeze; "
                 f"{len(over)} lasted longer than {TIMEOUT_MS} ms, {len(silent)} of "
                 f"these had no answer {SLACK_MS} ms later")
    return len(silent) >= 8 and len(silent) * 4 > len(over) and \
        len(silent) * 2 > len(over)


def case(record, trouble, hold):
    rig = r.Rig(["z-a", "z-a", "z-a"])
    hold(rig)
    for _ in range(2):
        rig.add_replica(SERVICE, "z-a", work_ms=15, slots=6)
    rig.configure(7, [r.route("r-1", "/cufi504/", "safe", SERVICE, TIMEOUT_MS,
                              attempts=2)], [r.backend(SERVICE)], [r.KEY])
    rig.start()
    first, second = rig.daemons[:2]
    crowd_ = Crowd(first)
    try:
        time.sleep(2)
        users = pass_connections(record, rig, first, second, crowd_)
        time.sleep(CALM_S)
        record.write(f"{sum(user.open for user in users)} channels are in use "
                     f"{CALM_S} s after the press")
        began_ms, served = r.now_ms(), crowd_.served.value
        if trouble:
            second.signal(signal.SIGSTOP)
            record.write("machine 2 freezes")
        time.sleep(FREEZE_S)
        if trouble:
            second.signal(signal.SIGCONT)
            record.write("machine 2 wakes")
        ended_ms, served = r.now_ms(), crowd_.served.value - served
        ready = first.is_ready()
        time.sleep(2)
        for user in users:
            user.ending = True
        time.sleep(DEADLINE_MS / 1000 + 0.5)
    finally:
        crowd_.end()
    record.write(f"in that time machine 1 served {served} requests on new channels; "
                 f"it is {'ready' if ready else 'not ready'}")
    ran = {run[1]: replica.name for replica in rig.replicas for run in replica.runs}
    asked = sorted((item for user in users for item in user.asked
                    if began_ms <= item[0] <= ended_ms - DEADLINE_MS),
                   key=lambda item: item[0])
    for sent_ms, request_id, answer in asked:
        seen = "no answer" if answer is None else \
            f"{answer.status} after {answer.taken_ms:.0f} ms"
        record.write(f"sent {sent_ms - began_ms:6.0f} ms into the freeze, request "
                     f"{request_id}: {seen}; run by {ran.get(request_id, 'none')}")
    return judge(record, asked)


if __name__ == "__main__":
    r.run_case(case, FOLDER)
