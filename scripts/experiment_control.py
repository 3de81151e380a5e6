"""The control service: configuration changes, its cost on a node, loss of its leader, restart with many changes."""

import time
import uuid

from waxwing_cluster import Cluster
from waxwing_measure import measured, median, quantile, write
from waxwing_processes import request, wait_for

CHANGES = 20  # Changes per seed.
RESTART_CHANGES = 10_000


def _lagging(cluster, kind, name, version):
    """Proxies on which a version is not in effect; None if unknown."""
    status, body = cluster.operator("GET", f"/v1/resources/{kind}/{name}")
    if status != 200 or body.get("version", 0) < version:
        return None
    return body.get("status", body).get("lagging")


def config(seeds):
    times = []
    with Cluster(proxies=6) as cluster:
        cluster.start()
        for seed in seeds:
            for number in range(CHANGES):
                began = time.monotonic()
                status, body = cluster.apply("policy", "standard", {"long_share_percent": 10 + (seed + number) % 30})
                if status not in (200, 201):
                    raise RuntimeError(f"change refused: {status} {body}")
                version = body["version"]
                wait_for("the change is in effect on all proxies", lambda v=version: _lagging(cluster, "policy", "standard", v) == [], 10)
                times.append((time.monotonic() - began) * 1000)
    values = {"config_in_force_p99_ms": measured(quantile(times, 0.99), "ms", "<= 500"), "config_in_force_p50_ms": measured(median(times), "ms", "<= 500")}
    write("config", seeds, values, {"title": "Time until a change is in effect on six proxies", "x": "change", "y": "ms", "style": "points",
                                    "series": {"change": list(enumerate(times))}})
    return 0


def control_failover(seeds):
    times = []
    with Cluster(proxies=3) as cluster:
        cluster.start()
        for seed in seeds:
            leader = cluster.control[wait_for("control has a leader", cluster.leader)[0]]
            version = cluster.version("policy", "standard")
            leader.kill()
            began = time.monotonic()
            change_id = str(uuid.uuid4())
            wait_for("a change is accepted",
                     lambda v=version, c=change_id, s=seed: cluster.apply("policy", "standard", {"long_share_percent": 10 + s % 30}, c, v)[0] in (200, 201), 30)
            times.append(time.monotonic() - began)
            print(f"seed {seed}: {leader.name} killed, writable again after {times[-1]:.2f} s", flush=True)
            leader.start()
            wait_for("all control processes answer", lambda: all(request(a, "GET", "/healthz")[0] == 200 for _, a in cluster.control_addresses))
    write("control-failover", seeds, {"control_writable_again_s": measured(max(times), "s", "<= 2")},
          {"title": "Time until control takes changes after its leader is killed", "y": "s", "series": {"time": list(zip(seeds, times))}})
    return 0


def restart(seeds):
    """Restarts all control processes after many changes; one seed, since the changes take long."""
    with Cluster(proxies=1) as cluster:
        cluster.start()
        version = cluster.version("policy", "standard")
        for number in range(RESTART_CHANGES):
            status, body = cluster.apply("policy", "standard", {"long_share_percent": 10 + number % 30}, None, version)
            if status not in (200, 201):
                raise RuntimeError(f"change {number} refused: {status} {body}")
            version = body["version"]
        for process in cluster.control:
            process.kill()
        began = time.monotonic()
        for process in cluster.control:
            process.start()
        wait_for("control is current", lambda: cluster.version("policy", "standard") == version, 30)
        control = time.monotonic() - began
        cluster.proxies[0].kill()
        began = time.monotonic()
        cluster.proxies[0].start()
        wait_for("the proxy is current", lambda: _lagging(cluster, "policy", "standard", version) == [], 30)
        proxy = time.monotonic() - began
    print(f"control current after {control:.2f} s, proxy after {proxy:.2f} s", flush=True)
    write("restart", seeds[:1], {"restart_current_s": measured(max(control, proxy), "s", "<= 2"), "restart_changes": measured(RESTART_CHANGES, "changes", "10000")},
          {"title": "Time until current after a restart with 10,000 changes", "x": "1 = control, 2 = proxy", "y": "s", "style": "impulses",
           "series": {"time": [(1, control), (2, proxy)]}})
    return 0


def _link_bytes(address):
    """Bytes that a proxy sent and received on its links; None if the proxy does not count them."""
    status, text = request(address, "GET", "/metrics")
    values = [float(line.rsplit(" ", 1)[1]) for line in str(text).splitlines() if line.startswith("waxwing_link_bytes_total")] if status == 200 else []
    return sum(values) if values else None


def control_cost(seeds):
    """Cost of a proxy that owns its group and serves nothing: renewals, probes and announcements."""
    seconds = 10
    rows = []
    with Cluster(proxies=3, groups=("orders", "ledger", "plan")) as cluster:
        cluster.start()
        for _ in seeds:
            before = [(process.cpu_seconds(), _link_bytes(address)) for process, (address, _) in zip(cluster.proxies, cluster.proxy_addresses)]
            time.sleep(seconds)
            for process, (address, _), (cpu, sent) in zip(cluster.proxies, cluster.proxy_addresses, before):
                now = _link_bytes(address)
                rate = None if sent is None or now is None else (now - sent) / seconds
                rows.append(((process.cpu_seconds() - cpu) / seconds * 100, process.memory_mb(), rate))
    values = {"control_cpu_percent": measured(max(row[0] for row in rows), "% of a core", "<= 1.1"),
              "control_memory_mb": measured(max(row[1] for row in rows), "MB", "<= 32")}
    if all(row[2] is not None for row in rows):
        values["control_bytes_per_second"] = measured(max(row[2] for row in rows), "B/s", "<= 5000")
    else:
        print("control_bytes_per_second is not measured: the proxies do not count the bytes of their links", flush=True)
    write("control-cost", seeds, values, {"title": "Processor time of an idle proxy", "x": "measurement", "y": "% of a core", "style": "points",
                                          "series": {"cpu": [(index, row[0]) for index, row in enumerate(rows)]}})
    return 0
