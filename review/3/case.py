"""A key is revoked by a version that also adds a route with a long host name."""
import os
import sys
import time

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from fleet import (BOUNDS, PREFIX, TROUBLE, Daemon, Replica, Store, call,
                   configuration, main, route)

# 76 characters; DNS allows 253, with 63 a label.
LONG_HOST = ("inspection-reports.quality.gloves.production.gyeonggi."
             "hanseong-works.example")
WATCHED_S = 12


def send(record, daemon, request_id, key, host="shop.example"):
    status, _, _ = call(daemon.frontend, "POST", "/book/lot", [
        ("Host", host), (PREFIX + "Request-Id", request_id),
        (PREFIX + "Credential", key), (PREFIX + "Deadline-Ms", "3000")],
        b'{"lot": 7}')
    record.add("client sends", request_id, "key", key, "host", host, "to",
               daemon.name, "and gets", status)
    return status


def run(record, folder, started):
    store = Store(record)
    replica = Replica(record, "i-desk-1", "desk")
    daemons = [Daemon(record, store, folder, 1)]
    daemons.append(Daemon(record, store, folder, 2, [daemons[0].control]))
    started += [store, replica] + daemons
    store.put("servers", replica.name, replica.entry())
    book = route("book", "/book/", "unsafe", "desk", 3000)
    store.put("config", "main", configuration(
        1, [book], ["desk"],
        [{"name": "acme", "api_keys": ["key-kept", "key-stolen"]}]))
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        daemon.wait_ready()
    for daemon in daemons:
        if send(record, daemon, "before-" + daemon.name, "key-stolen") != 200:
            raise OSError("the key is not served before the change")

    host = LONG_HOST if TROUBLE else "reports.example"
    assert len(host) <= 253
    added = route("reports", "/book/", "unsafe", "desk", 3000, host=host)
    acknowledged = store.put("config", "main", configuration(
        5, [book, added], ["desk"],
        [{"name": "acme", "api_keys": ["key-kept"]}]))
    record.add("the store acknowledges version 5 without key-stolen")
    late = 0
    while time.monotonic() < acknowledged + WATCHED_S:
        for daemon in daemons:
            sent = time.monotonic()
            request_id = "after-%d" % int(sent * 1000)
            send(record, daemon, request_id, "key-stolen")
            if sent > acknowledged + BOUNDS["revoke_ms"] / 1000 and \
                    replica.ran(request_id):
                late += 1
        time.sleep(0.5)
    for daemon in daemons:
        send(record, daemon, "added-" + daemon.name, "key-kept", host)
    record.add(late, "requests ran that were sent with the revoked key more "
               "than revoke_ms after the acknowledgement")
    return late == 0


main(HERE, run)
