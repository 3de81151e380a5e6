"""Randomised run: faults at random, alone and two at once, under load; afterwards the checker reads all histories."""

import random
import re
import time

from random_faults import FaultInjector
from waxwing_cluster import Cluster
from waxwing_measure import measured, write
from waxwing_processes import request


def _invariant_failures(cluster):
    failures = 0
    for address in [address for address, _ in cluster.proxy_addresses] + [address for _, address in cluster.control_addresses]:
        status, text = request(address, "GET", "/metrics")
        if status == 200:
            failures += sum(int(float(value)) for value in re.findall(r"^waxwing_invariant_failures_total\S* (\S+)$", str(text), re.MULTILINE))
    return failures


def _check_running(cluster, problems):
    for process in cluster.control + cluster.proxies + [database.process for database in cluster.databases]:
        if not process.is_running():
            problems.append(f"{process.name} ended by itself with exit code {process.process.returncode}; see {process.log_path}")
            process.start()


def _inject(cluster, injector, minutes, recoveries):
    end = time.monotonic() + minutes * 60
    while time.monotonic() < end:
        kinds, holds = injector.draw()
        injector.run(kinds, holds)
        _check_running(cluster, injector.problems)
        began = time.monotonic()
        try:
            cluster.wait_ready(60)
        except TimeoutError as error:
            injector.problems.append(f"after {kinds}: {error}")
        recoveries.append((round(began - end + minutes * 60, 1), round(time.monotonic() - began, 2)))
        print(f"{time.strftime('%H:%M:%S')} {' + '.join(kinds)}: serving again after {recoveries[-1][1]} s", flush=True)


def random_run(seeds, minutes=10.0):
    """One run per seed; returns the number of violations."""
    total = 0
    counts = {}
    recoveries = []
    for seed in seeds:
        print(f"random run, seed {seed}, {minutes} minutes", flush=True)
        with Cluster(proxies=3, groups=("orders", "ledger")) as cluster:
            cluster.start()
            injector = FaultInjector(cluster, random.Random(seed))
            load = cluster.load("load", "random-run", ["--seed", seed, "--duration", int(minutes * 60)])
            _inject(cluster, injector, minutes, recoveries)
            result = cluster.finish_load(load)
            invariants = _invariant_failures(cluster)
            summary = cluster.check()
            violations = summary["violations"] + invariants + len(injector.problems)
            print(summary["text"], flush=True)
            print(f"{result['done']} of {result['planned']} operations done; refusals: {result['reasons']}", flush=True)
            for problem in injector.problems:
                print("problem:", problem, flush=True)
            print(f"invariant failures: {invariants}; faults: {injector.counts}", flush=True)
            if violations:
                cluster.keep_folder = True
                print(f"histories and logs are kept in {cluster.folder}", flush=True)
            total += violations
            for kind in injector.kinds:
                counts[kind] = counts.get(kind, 0) + injector.counts.get(kind, 0)
    missing = sorted(kind for kind, count in counts.items() if count == 0)
    print(f"faults that never took effect: {missing or 'none'}", flush=True)
    values = {"random_run_violations": measured(total, "violations", "0"), "random_run_minutes": measured(minutes * len(seeds), "min", ">= 10"),
              "random_run_fault_kinds_fired": measured(len(counts) - len(missing), "kinds", str(len(counts)))}
    values.update({"fault_" + kind: measured(count, "times", ">= 1") for kind, count in counts.items()})
    write("random-run", seeds, values, {"title": "Time until all proxies serve writes again after a fault", "x": "seconds of the run", "y": "s",
                                        "style": "points", "series": {"recovery": recoveries}})
    return total
