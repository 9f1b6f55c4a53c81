#!/usr/bin/env python3
"""Nine instances as real processes: tickets, a leaving target, kills.

usage: tools/nine_instances.py [--build DIR] [--instances N] [--pause S]

Prints one JSON object a line and ends with status 1 if a promise was broken.
Takes about four minutes. Everything listens on loopback and is ended by
number.
"""

import argparse
import json
import signal
import statistics
import sys
import threading
import time

from trial_callers import Callers
from trial_site import Site, get_json

ADAPTERS = 40
ENGINES = 4
CALLERS = 24
TICKETS = 8
IN_FORCE_LIMIT_S = 13.0
LEAVING_LIMIT_S = 5.0


def report(what, **figures):
    print(json.dumps({"what": what, **figures}), flush=True)


def watch_ticket(instance, number, start, into):
    while time.monotonic() - start < 2 * IN_FORCE_LIMIT_S:
        if instance.ticket() >= number:
            into[instance.name] = time.monotonic() - start
            return
        time.sleep(0.02)


def time_in_force(site, platforms):
    """Seconds until one more ticket is in force on each instance."""
    start = time.monotonic()
    number = site.publish({"adapters": {f"new-{site.number}": {
        "model": "base", "versions": ["1"], "services": ["summaries"]}}},
        platforms)
    into = {}
    watchers = [threading.Thread(target=watch_ticket,
                                 args=(i, number, start, into))
                for i in site.instances]
    for w in watchers:
        w.start()
    for w in watchers:
        w.join()
    missing = len(site.instances) - len(into)
    return list(into.values()), missing


def tickets(site, name, mode, platforms):
    site.set_mode(mode)
    times, missing = [], 0
    for _ in range(TICKETS):
        some, lacking = time_in_force(site, platforms)
        times += some
        missing += lacking
    site.set_mode("up")
    report("ticket_in_force", service=name, tickets=TICKETS,
           p50_s=round(statistics.median(times), 3),
           max_s=round(max(times), 3), missing=missing)
    return missing == 0 and max(times) <= IN_FORCE_LIMIT_S


def leaving_target(site):
    """Seconds from the notice until the last request began on the target."""
    with Callers(site, CALLERS, ADAPTERS, seed=2) as callers:
        time.sleep(6)
        notice = time.time() * 1000
        site.publish({"targets": {"engine-0": site.target(0, "leaving")}})
        time.sleep(10)
    events = get_json(site.engines[0], "/admin/history")["events"]
    starts = [e["ms"] for e in events if e["event"].startswith("start")]
    late = max([(ms - notice) / 1000 for ms in starts] or [0.0])
    report("leaving_target", last_start_after_notice_s=round(late, 3),
           starts=len(starts), counts=callers.counts,
           evicted_in_use_so_far=evicted_in_use(site),
           violations=callers.violations)
    site.publish({"targets": {"engine-0": site.target(0)}})
    return bool(starts) and late <= LEAVING_LIMIT_S and not callers.violations


def evicted_in_use(site):
    """Evictions of adapters in use so far, by engine."""
    return {f"engine-{i}": n for i, n in enumerate(
        get_json(p, "/admin/history")["evicted_in_use"]
        for p in site.engines) if n > 0}


def disturbed(site, name, disturb, seed):
    """Runs load around a disturbance of the last instance."""
    victim = site.instances[-1]
    with Callers(site, CALLERS, ADAPTERS, seed=seed) as callers:
        time.sleep(5)
        disturb(site, victim, callers)
        time.sleep(8)
    callers.check_runs(get_json(site.desk, "/admin/runs")["by_id"])
    in_use = evicted_in_use(site)
    report(name, counts=callers.counts, evicted_in_use_so_far=in_use,
           sign_offs=len(callers.sign_offs), violations=callers.violations)
    return not callers.violations and not in_use


def kill(_site, victim, callers):
    callers.gone.add(victim.name)
    victim.process.kill()
    victim.process.wait()


def pause(seconds):
    def run(_site, victim, callers):
        callers.gone.add(victim.name)
        victim.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        victim.process.send_signal(signal.SIGCONT)
        time.sleep(2)
        callers.gone.discard(victim.name)
    return run


def stop(_site, victim, callers):
    """A planned stop: the balancer takes the instance out as it turns
    unready, and nothing in flight is cut off."""
    victim.process.send_signal(signal.SIGTERM)
    while victim.ready():
        time.sleep(0.01)
    callers.avoided.add(victim.name)
    status = victim.process.wait(timeout=60)
    if status != 0:
        callers.violate(f"exit status {status} after SIGTERM")


def restart(site):
    victim = site.instances[-1]
    site.start(victim)
    return site.wait(victim.ready, 30) is not None


def usage(site, seconds):
    """Control cost of each instance without callers."""
    def take():
        return [(i.usage(), i.counter("peer_bytes_sent")) for i in
                site.instances]
    before = take()
    time.sleep(seconds)
    after = take()
    cpu = [(b[0][0] - a[0][0]) / seconds for a, b in zip(before, after)]
    sent = [(b[1] - a[1]) / seconds for a, b in zip(before, after)]
    report("idle_cost", seconds=seconds, cpu_share_max=round(max(cpu), 4),
           resident_mb_max=round(max(b[0][1] for b in after) / 1e6, 1),
           sent_bytes_per_s_max=round(max(sent)),
           note="the watch of the status page is not running")


def trial(site, pause_s):
    site.publish_list()
    site.publish(site.first_ticket(ADAPTERS))
    for i in site.instances:
        site.start(i)
    ready = site.wait(lambda: all(i.ready() for i in site.instances), 40)
    report("started", instances=len(site.instances), seconds=ready)
    if ready is None:
        return False
    # Homes and permit nodes answer for what came after their tenure began.
    time.sleep(15)
    usage(site, 10)
    first = site.platforms[:1]
    results = [
        tickets(site, "up", "up", None),
        tickets(site, "down for all but one", "down", first),
        tickets(site, "stale for all but one", "stale", None),
        leaving_target(site),
        disturbed(site, "kill_9", kill, 3), restart(site),
        disturbed(site, "sigterm", stop, 4), restart(site),
        disturbed(site, "sigstop", pause(pause_s), 5)]
    report("store", **get_json(site.store, "/admin/counts"))
    return all(results)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--instances", type=int, default=9)
    parser.add_argument("--pause", type=float, default=30.0)
    options = parser.parse_args()
    site = Site(options.build, options.instances, ENGINES)
    try:
        kept = trial(site, options.pause)
    finally:
        site.close()
    report("verdict", promises_kept=kept)
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
