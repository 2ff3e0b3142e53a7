"""Clients of a machine that is pressed until it passes connections to its peers.

With the settings of deploy/daemon.toml a daemon passes new connections on while its
event loop has little idle time. Clients that keep such a channel go on using it.
"""
import multiprocessing
import socket
import threading
import time

import rig as r

PATH = "/cufi504/2f"
DEADLINE_MS = 1500
USUAL_PER_S = 400
PRESS_X = 9  # hot_tenant
PRESS_PROCESSES = 6
PRESS_THREADS = 12
PRESS_MAX_S = 8.0
CHANNELS = 200


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
    """A client that keeps its channel and sends a request each period."""

    def __init__(self, rig, daemon, period_s):
        super().__init__(daemon=True)
        self.rig, self.machine, self.period_s = rig, daemon, period_s
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
                time.sleep(self.period_s)
            client.close()
        except OSError:
            pass
        self.open = False


def pass_connections(record, rig, first, second, crowd_, period_s):
    """Lets the first machine pass connections on. Returns clients that keep theirs."""
    crowd_.factor.value = PRESS_X
    until = time.monotonic() + PRESS_MAX_S
    while time.monotonic() < until - 3 and \
            not first.metric("bamboorudder_handoffs_total"):
        time.sleep(0.2)
    users = [User(rig, first, period_s) for _ in range(CHANNELS)]
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
