"""The last keys of a deployment with one tenant are taken away."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from rig import (Replica, Rig, TROUBLE, ask, configuration, now,  # noqa: E402
                 request_headers, route, run)

KEYS = ["key-a", "key-b"]
UNKNOWN = "key-that-no-configuration-held"
GAP_S = 1.5  # between the two keys; the site file has gaps of 0.1 to 1.5 s
ROUTES = [route("r-once", "/book/", "unsafe", "desk", max_attempts=1)]


def tenants(keys):
    return [{"name": "acme", "api_keys": keys, "priority": 1}] if keys else []


async def send(record, daemon, request_id, key):
    """@return when the request was sent"""
    sent = now()
    answer = await ask(daemon.frontend, "POST", "/book/1",
                       request_headers(request_id, key), b"{}")
    record.add("client of daemon", daemon.index, "sent", request_id, "at %.3f" % sent,
               "with", key, "and got", answer)
    return sent


async def case(record):
    rig = Rig(record, 2)
    try:
        await rig.store.start()
        replica = Replica(record, "i-one", "desk")
        await replica.start()
        store = rig.store
        await store.put("config", "main",
                        configuration(3, ROUTES, ["desk"], tenants(KEYS)))
        await store.put("servers", "i-one", replica.entry())
        await rig.start()
        for daemon in rig.daemons:
            await send(record, daemon, "before-%d" % daemon.index, KEYS[0])

        taken = {}
        for version, left in ((4, KEYS[:1]), (5, [])):
            await asyncio.sleep(GAP_S)
            held = left if TROUBLE else KEYS
            acknowledged = await store.put(
                "config", "main",
                configuration(version, ROUTES, ["desk"], tenants(held)))
            record.add("operator: version", version, "with the keys", held or "-")
            for key in KEYS:
                if key not in held:
                    taken.setdefault(key, acknowledged)

        sent = {}
        await asyncio.sleep(rig.bounds["revoke_ms"] / 1000 + 0.5)
        for turn in range(3):
            for daemon in rig.daemons:
                for key in KEYS + [UNKNOWN]:
                    request_id = "%s-%d-%d" % (key[-5:], daemon.index, turn)
                    sent[request_id] = (key, await send(record, daemon,
                                                        request_id, key))
            await asyncio.sleep(0.5)

        ran = {entry[1] for entry in replica.ran}
        late = [r for r, (key, at) in sent.items() if r in ran and key in taken
                and at > taken[key] + rig.bounds["revoke_ms"] / 1000]
        unheld = [r for r, (key, _) in sent.items() if r in ran and key == UNKNOWN]
        record.add("CONFIG: ran over revoke_ms after its key was taken away:", late)
        record.add("ROUTE: ran with a key that no configuration ever held:", unheld)
        return not late and not unheld
    finally:
        rig.stop()


run(HERE, case)
