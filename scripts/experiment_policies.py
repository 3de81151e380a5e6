"""Policies against their baselines, under the same seeds: head-of-line blocking, demand surge, share of replica reads."""

from waxwing_cluster import Cluster
from waxwing_measure import measured, median, write

WEIGHTS = {"batch-order": 2, "dispatch-note": 2}
# The users of this profile weigh the peak and head-of-line blocking most.
PROFILE = "petal-ledger"


def _run(policy, experiments, seeds, proxies=3, standin=None, acknowledge="majority"):
    """Runs each load for each seed under one policy; returns {experiment: [results]} and the summary of the checker."""
    results = {experiment: [] for experiment in experiments}
    with Cluster(proxies=proxies, policy=policy, standin=standin, acknowledge=acknowledge) as cluster:
        cluster.start()
        for seed in seeds:
            for experiment in experiments:
                load = cluster.load(f"{experiment}-{seed}", experiment, ["--seed", seed, "--profile", PROFILE])
                results[experiment].append(cluster.finish_load(load))
        summary = cluster.check()
    if summary["violations"]:
        print(summary["text"], flush=True)
    return results, summary


def head_of_line(seeds):
    """Acknowledges by the primary alone: the wait of 20 to 200 ms for a majority would hide the queues."""
    ratios = {}
    absolute = {}
    violations = 0
    for label, policy in (("classes", {"queue": "classes"}), ("fifo", {"queue": "fifo"})):
        results, summary = _run(policy, ["head-of-line-short", "head-of-line"], seeds, acknowledge="primary")
        violations += summary["violations"]
        ratios[label] = [full["short_p99_ms"] / short["short_p99_ms"] for short, full in zip(results["head-of-line-short"], results["head-of-line"])]
        absolute[label] = {name: median([result["short_p99_ms"] for result in part]) for name, part in results.items()}
        print(label, "short p99 without / with long statements, ms:",
              [(round(short["short_p99_ms"], 1), round(full["short_p99_ms"], 1))
               for short, full in zip(results["head-of-line-short"], results["head-of-line"])], flush=True)
    values = {"short_p99_ratio": measured(median(ratios["classes"]), "ratio", "<= 1.5", median(ratios["fifo"])),
              # The ratio means little if the short statements alone already wait.
              "short_p99_alone_ms": measured(absolute["classes"]["head-of-line-short"], "ms", "none", absolute["fifo"]["head-of-line-short"]),
              "short_p99_beside_long_ms": measured(absolute["classes"]["head-of-line"], "ms", "none", absolute["fifo"]["head-of-line"])}
    write("head-of-line", seeds, values, {"title": "p99 of short statements with 5% long ones, relative to without", "y": "ratio",
                                          "series": {label: list(zip(seeds, ratio)) for label, ratio in ratios.items()}})
    return violations


def crest(seeds):
    policies = {"deadline": {"queue": "classes", "admission": "deadline", "concurrency": "adaptive", "retry_budget": "tokens", "weights": WEIGHTS},
                "baseline": {"queue": "fifo", "admission": "none", "concurrency": "fixed", "retry_budget": "none"}}
    ratios = {}
    recoveries = {}
    violations = 0
    for label, policy in policies.items():
        results, summary = _run(policy, ["crest"], seeds)
        violations += summary["violations"]
        ratios[label] = [result["surge"]["service_ratio"] for result in results["crest"]]
        recoveries[label] = [result["surge"]["recovery_s"] for result in results["crest"]]
        print(label, "service ratio", [round(r, 3) for r in ratios[label]], "recovery", recoveries[label], flush=True)
    values = {"crest_service_ratio": measured(median(ratios["deadline"]), "ratio", ">= 0.95", median(ratios["baseline"])),
              "crest_recovery_s": measured(max(recoveries["deadline"]), "s", "<= 2", max(recoveries["baseline"]))}
    write("crest", seeds, values, {"title": "Weighted service on time at 3 times capacity, relative to a clairvoyant schedule", "y": "ratio",
                                   "series": {label: list(zip(seeds, ratio)) for label, ratio in ratios.items()}})
    return violations


def replica_share(seeds):
    shares = {}
    violations = 0
    stale = 0
    for reads in ("replicas", "primary"):
        results, summary = _run({"reads": reads}, ["replica-share"], seeds, proxies=6, standin={"lag-low-ms": 20, "lag-high-ms": 200})
        violations += summary["violations"]
        shares[reads] = [result["replica_read_share"] for result in results["replica-share"]]
        print(reads, "share", [round(share, 3) for share in shares[reads]], flush=True)
        if reads == "replicas":
            stale = summary["by_check"].get("stated-age", 0) + summary["by_check"].get("read-your-writes", 0)
    values = {"replica_read_share": measured(median(shares["replicas"]), "share", ">= 0.9", median(shares["primary"])),
              "stale_answers": measured(stale, "reads", "0")}
    write("replica-share", seeds, values, {"title": "Share of reads served by replicas", "y": "share",
                                           "series": {label: list(zip(seeds, share)) for label, share in shares.items()}})
    return violations
