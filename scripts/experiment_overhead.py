"""Cost of the proxy: latency beside a direct run at the same time, statements per second and core, and planned stops under load."""

import collections
import time

from waxwing_cluster import Cluster, program
from waxwing_measure import measured, median, write
from waxwing_processes import Process, wait_for, request

# No queue at the databases, no connection cost and no replication wait: only the proxy differs between the two runs.
STANDIN = {"slots": 64, "connections": 3000, "latency-ms": 0, "connect-cost-ms": 0}


def _direct_load(cluster, name, experiment, seed, database, arguments):
    arguments = [program("waxwing-load"), "experiment", experiment, "--direct", database.address, "--service", "orders", "--seed", str(seed),
                 "--json", cluster.path(name + ".json")] + arguments
    process = Process(name, arguments, cluster.folder)
    cluster.loads.append(process)
    process.start()
    return process


def _pair(cluster, direct, experiment, seed, keyed=0):
    """One run through the proxy and one direct run, side by side; returns both results and the cores that the proxy used."""
    proxy = cluster.proxies[0]
    name = f"{experiment}-{seed}-{keyed}"
    arguments = ["--keyed", str(keyed)]
    loads = [cluster.load(name, experiment, ["--seed", seed] + arguments), _direct_load(cluster, name + "-direct", experiment, seed, direct, arguments)]
    time.sleep(2)
    cpu, started = proxy.cpu_seconds(), time.monotonic()
    time.sleep(6)
    cores = (proxy.cpu_seconds() - cpu) / (time.monotonic() - started)
    return [cluster.finish_load(load) for load in loads] + [cores]


def overhead(seeds):
    differences = {"p50": [], "p99": []}
    rates = []
    with Cluster(proxies=1, groups=("orders", "direct"), databases=1, standin=STANDIN, acknowledge="primary",
                 limits={"slots": 64, "connections": 200}) as cluster:
        cluster.start()
        direct = next(database for database in cluster.databases if database.group == "direct")
        cluster.groups = ["orders"]
        for seed in seeds:
            through, beside, cores = _pair(cluster, direct, "overhead", seed)
            for name, values in differences.items():
                values.append(through[name + "_ms"] - beside[name + "_ms"])
            print(f"seed {seed}: p50 {through['p50_ms']:.2f} / {beside['p50_ms']:.2f} ms, p99 {through['p99_ms']:.2f} / {beside['p99_ms']:.2f} ms, "
                  f"{cores:.2f} cores, reasons {through['reasons']}", flush=True)
        # Statements with an idempotency key also wait for their durable record at control, which a direct run does not have.
        keyed = [through["p99_ms"] - beside["p99_ms"] for through, beside, _ in (_pair(cluster, direct, "overhead", seed, 1) for seed in seeds)]
        for seed in seeds[:2]:
            through, _, cores = _pair(cluster, direct, "throughput", seed)
            rates.append(through["done"] / through["duration_s"] / cores)
            print(f"seed {seed}: {through['done']} of {through['planned']} done, p99 {through['p99_ms']:.1f} ms, {cores:.2f} cores", flush=True)
    values = {"overhead_p50_ms": measured(median(differences["p50"]), "ms", "<= 0.3"),
              "overhead_p99_ms": measured(median(differences["p99"]), "ms", "<= 1"),
              "overhead_keyed_p99_ms": measured(median(keyed), "ms", "none"),
              "statements_per_second_per_core": measured(median(rates), "1/s", ">= 2300")}
    write("overhead", seeds, values, {"title": "Latency through the proxy minus direct, 460 statements/s, 2,600 connections", "y": "ms",
                                      "series": {name: list(zip(seeds, value)) for name, value in differences.items()}})
    return 0


def drain(seeds):
    """One planned stop of each proxy in turn per seed, under load."""
    cuts = []
    with Cluster(proxies=3) as cluster:
        cluster.start()
        for seed in seeds:
            load = cluster.load(f"load-{seed}", "drain", ["--seed", seed])
            time.sleep(2)
            proxy = cluster.proxies[seed % len(cluster.proxies)]
            code = proxy.stop()
            proxy.start()
            result = cluster.finish_load(load)
            # Each attempt counts, also one whose retry hid that it was cut.
            reasons = collections.Counter(f"{record['outcome']}/{record['reason']}" for record in cluster.records(load) if record["outcome"] != "done")
            cuts.append(sum(reasons.values()))
            print(f"seed {seed}: drained {proxy.name}, exit code {code}, {cuts[-1]} of {result['planned']} requests without a result: {dict(reasons)}", flush=True)
            address = cluster.proxy_addresses[seed % len(cluster.proxies)][0]
            wait_for("the proxy is back", lambda a=address: request(a, "GET", "/healthz")[0] == 200)
            if code != 0:
                raise RuntimeError(f"{proxy.name} ended with exit code {code}")
        summary = cluster.check()
    print(summary["text"], flush=True)
    write("drain", seeds, {"drain_requests_cut": measured(sum(cuts), "requests", "0")},
          {"title": "Requests without a result during a planned stop of a proxy", "y": "requests", "series": {"cut": list(zip(seeds, cuts))}})
    return summary["violations"]
