"""A machine passes connections to a peer of its zone. The peer freezes. Requests on
those connections get no answer at their route's timeout, though the machine that the
clients are connected to runs all the while."""
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import passing
import rig as r

SERVICE = "xano55b"
TIMEOUT_MS = 800  # of the route, as on the sheet of hsgw-router
SLACK_MS = 500
PERIOD_S = 1
CALM_S = 5.5
FREEZE_S = 4.0


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
    crowd_ = passing.Crowd(first)
    try:
        time.sleep(2)
        users = passing.pass_connections(record, rig, first, second, crowd_, PERIOD_S)
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
        time.sleep(passing.DEADLINE_MS / 1000 + 0.5)
    finally:
        crowd_.end()
    record.write(f"in that time machine 1 served {served} requests on new channels; "
                 f"it is {'ready' if ready else 'not ready'}")
    ran = {run[1]: replica.name for replica in rig.replicas for run in replica.runs}
    asked = sorted((item for user in users for item in user.asked
                    if began_ms <= item[0] <= ended_ms - passing.DEADLINE_MS),
                   key=lambda item: item[0])
    for sent_ms, request_id, answer in asked:
        seen = "no answer" if answer is None else \
            f"{answer.status} after {answer.taken_ms:.0f} ms"
        record.add(f"sent {sent_ms - began_ms:6.0f} ms into the freeze, request "
                     f"{request_id}: {seen}; run by {ran.get(request_id, 'none')}")
    return judge(record, asked)


if __name__ == "__main__":
    r.run_case(case, FOLDER)
