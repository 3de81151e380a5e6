"""Gaps in writes: a killed primary, and a planned switchover."""

import time
import uuid

from waxwing_cluster import Cluster
from waxwing_measure import measured, median, write
from waxwing_processes import wait_for


def _settled(cluster, group):
    """True once all members follow the primary in its term and hold nearly all of its log."""
    primary = cluster.primary(group)
    if primary is None:
        return False
    head = primary.status()
    for database in cluster.databases:
        if database.group == group:
            status = database.status()
            if status is None or status["term"] != head["term"] or status["position"] + 50 < head["position"]:
                return False
    return True


def _first_write_after(cluster, load, term):
    """Time, on the monotonic clock, of the first acknowledged write of a term above the given one."""
    times = [record["received"] / 1e6 for record in cluster.records(load) if record["write"] and record["outcome"] == "done" and record["term"] > term]
    return min(times)


def _run_failover(cluster, seed, silent):
    """Kills or suspends the primary under load; the gap ends with the first write that the new primary took."""
    wait_for("the group is complete", lambda: _settled(cluster, "orders"), 30)
    cluster.wait_ready()
    load = cluster.load(f"load-{seed}", "failover", ["--seed", seed] + (["--duration", 14] if silent else []))
    time.sleep(3)
    primary = cluster.primary("orders")
    term = primary.status()["term"]
    if silent:
        primary.process.suspend()
    else:
        primary.process.kill()
    killed = time.monotonic()
    result = cluster.finish_load(load)
    if silent:
        primary.process.resume()
    else:
        primary.process.start()
    gap = _first_write_after(cluster, load, term) - killed
    silence = result["write_gap_ms"]["orders"] / 1000
    print(f"seed {seed}: {'suspended' if silent else 'killed'} {primary.name}, gap {gap:.3f} s, longest time without an acknowledged write {silence:.3f} s, {result['reasons']}", flush=True)
    return max(gap, silence)


def _failover(seeds, silent):
    with Cluster(proxies=3) as cluster:
        cluster.start()
        gaps = [_run_failover(cluster, seed, silent) for seed in seeds]
        summary = cluster.check()
    print(summary["text"], flush=True)
    return gaps, summary


def failover(seeds):
    gaps, summary = _failover(seeds, False)
    values = {"failover_gap_p50_s": measured(median(gaps), "s", "<= 1.5"), "failover_gap_max_s": measured(max(gaps), "s", "<= 3"),
              "acknowledged_writes_lost": measured(summary["by_check"].get("acknowledged-lost", 0), "writes", "0"),
              "writes_run_twice": measured(summary["by_check"].get("at-most-once", 0), "writes", "0")}
    write("failover", seeds, values, {"title": "Gap in writes after the primary is killed", "y": "seconds", "series": {"gap": list(zip(seeds, gaps))}})
    return summary["violations"]


def failover_silent(seeds):
    """A lost VM refuses no connections, unlike a killed process: the primary is suspended instead."""
    gaps, summary = _failover(seeds, True)
    values = {"failover_silent_gap_p50_s": measured(median(gaps), "s", "<= 1.5"), "failover_silent_gap_max_s": measured(max(gaps), "s", "<= 3")}
    write("failover-silent", seeds, values, {"title": "Gap in writes after the primary falls silent", "y": "seconds",
                                             "series": {"gap": list(zip(seeds, gaps))}})
    return summary["violations"]


def _run_switchover(cluster, seed):
    wait_for("the group is complete", lambda: _settled(cluster, "orders"), 30)
    load = cluster.load(f"load-{seed}", "switchover", ["--seed", seed])
    time.sleep(2.5)
    primary = cluster.primary("orders")
    target = next(d for d in cluster.databases if d is not primary and d.group == "orders")
    status, body = cluster.operator("POST", "/v1/groups/orders/switchover", {"to": target.name, "change_id": str(uuid.uuid4())}, 10)
    result = cluster.finish_load(load)
    writes = ("hemming-order", "measurement")
    refused = sum(result["classes"][name]["outcomes"].get(kind, 0) for name in writes for kind in ("not-run", "unknown", "none"))
    moved = cluster.primary("orders") is target
    print(f"seed {seed}: switchover {primary.name} -> {target.name}: HTTP {status} {'' if status == 200 else body}, gap "
          f"{result['write_gap_ms']['orders']:.0f} ms, {refused} writes refused", flush=True)
    if not moved:
        raise RuntimeError(f"seed {seed}: the switchover to {target.name} did not happen: {status} {body}")
    return result["write_gap_ms"]["orders"], refused


def switchover(seeds):
    with Cluster(proxies=3) as cluster:
        cluster.start()
        runs = [_run_switchover(cluster, seed) for seed in seeds]
        summary = cluster.check()
    print(summary["text"], flush=True)
    gaps = [gap for gap, _ in runs]
    values = {"switchover_gap_ms": measured(max(gaps), "ms", "<= 300"),
              "switchover_writes_refused": measured(sum(refused for _, refused in runs), "writes", "0")}
    write("switchover", seeds, values, {"title": "Gap in writes at a planned switchover", "y": "ms", "series": {"gap": list(zip(seeds, gaps))}})
    return summary["violations"]
