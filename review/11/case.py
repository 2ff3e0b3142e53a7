"""A replica's spoilt answer ends the daemon."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from rig import (Answer, Replica, Rig, TROUBLE, configuration,  # noqa: E402
                 now, read_answer, request_headers, route, run)

REPLICAS_COUNT = 3  # of order-desk on the sheet; one of them is faulty
SPOILT_EVERY = 20   # answers of the faulty one: x = 0.05, the site file's largest
WORK_S = 0.06
CHANNELS_COUNT = 8  # kept ones, for each daemon
RUN_S = 15
RESTART_DELAY_S = 0.5  # "restarted after a short delay" (DEPLOY.md)
LOST_MAX_COUNT = 3
KEY = "key-a"


class Desk(Replica):
    """If it is faulty, a blank takes the place of the first letter of a header in
    each 20th answer."""

    def __init__(self, record, name, faulty):
        super().__init__(record, name, "desk", WORK_S)
        self.faulty, self.answers_count = faulty, 0

    async def answer(self, reader, writer, line, headers, body):
        await asyncio.sleep(self.delay_s)
        request_id = headers.get("x-bamboorudder-request-id", "")
        self.answers_count += 1
        head = ("X-Bamboorudder-Request-Id: %s\r\n"
                "X-Bamboorudder-Replica-Signature: sig-%s\r\n"
                "Content-Length: 2\r\n\r\n" % (request_id, self.name))
        if self.faulty and self.answers_count % SPOILT_EVERY == 0:
            head = " " + head[1:]
            self.record.add("replica", self.name, "spoils its answer to", request_id)
        writer.write(("HTTP/1.1 200 OK\r\n" + head + "ok").encode())
        await writer.drain()


class Client:
    """Sends one request after the other on a kept channel, and opens the next one
    when it is closed."""

    def __init__(self, record, daemon, number):
        self.record, self.daemon, self.number = record, daemon, number
        self.sent_count, self.unanswered = 0, []

    async def use_channel(self, until):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*self.daemon.frontend), 1)
        try:
            while now() < until:
                if not await self.send(reader, writer):
                    return
                await asyncio.sleep(0.02)
        finally:
            writer.close()

    async def send(self, reader, writer):
        """@return whether the channel can be used again"""
        self.sent_count += 1
        request_id = "d%d-c%d-%d" % (self.daemon.index, self.number, self.sent_count)
        text = "POST /book/1 HTTP/1.1\r\n" + "".join(
            "%s: %s\r\n" % item
            for item in request_headers(request_id, KEY, 3000).items())
        try:
            writer.write((text + "Content-Length: 2\r\n\r\n{}").encode())
            answer = await asyncio.wait_for(read_answer(reader), 4)
        except (ConnectionError, asyncio.TimeoutError) as error:
            answer = Answer(0, end=type(error).__name__)
        if answer.status == 0:
            self.unanswered.append(request_id)
            self.record.add("client sent", request_id,
                            "and the channel closed without an answer")
        else:
            self.record.add("client sent", request_id, "and got", answer)
        return (answer.status != 0 and
                answer.headers.get("connection", "").lower() != "close")

    async def run(self, until):
        while now() < until:
            try:
                await self.use_channel(until)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)


async def keep_running(record, daemon, exits):
    """Restarts the daemon, as the platform does, when it ends by itself."""
    while True:
        await asyncio.sleep(0.02)
        code = daemon.process.poll()
        if code is None:
            continue
        exits.append(code)
        record.add("daemon", daemon.index, "ended by itself with", code)
        await asyncio.sleep(RESTART_DELAY_S)
        daemon.start()


async def case(record):
    rig = Rig(record, 2)
    try:
        await rig.store.start()
        desks = [Desk(record, "i-%d" % i, TROUBLE and i == 0)
                 for i in range(REPLICAS_COUNT)]
        tenant = {"name": "acme", "api_keys": [KEY], "priority": 1}
        routes = [route("r-book", "/book/", "unsafe", "desk", max_attempts=1)]
        await rig.store.put("config", "main",
                            configuration(3, routes, ["desk"], [tenant]))
        for desk in desks:
            await desk.start()
            await rig.store.put("servers", desk.name, desk.entry())
        await rig.start()

        exits, until = [], now() + RUN_S
        keepers = [asyncio.ensure_future(keep_running(record, daemon, exits))
                   for daemon in rig.daemons]
        clients = [Client(record, daemon, number) for daemon in rig.daemons
                   for number in range(CHANNELS_COUNT)]
        await asyncio.gather(*[client.run(until) for client in clients])
        for keeper in keepers:
            keeper.cancel()

        sound = {entry[1]: desk.name for desk in desks[1:] for entry in desk.ran}
        lost = [(request_id, sound[request_id]) for client in clients
                for request_id in client.unanswered if request_id in sound]
        record.add("requests sent:", sum(client.sent_count for client in clients))
        record.add("daemons ended by themselves:", exits)
        record.add("LOST: passed on to a sound replica, channel closed without an "
                   "answer:", len(lost), lost)
        return len(lost) <= LOST_MAX_COUNT and not exits
    finally:
        rig.stop()


run(HERE, case)
