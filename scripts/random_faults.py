"""Fault kinds of the random run. Each injects one fault, holds it for a random time and heals it again."""

import threading
import time
import uuid

from waxwing_processes import wait_for

# A fault on the answers is hit by about this share of the statements.
ANSWER_FAULT_PROBABILITY = 0.3


class FaultInjector:
    """Draws and runs faults; `counts` holds how often each kind was injected and, for answer faults, took effect."""

    def __init__(self, cluster, random):
        self.cluster = cluster
        self.random = random
        self.counts = {}
        self.problems = []
        self.busy = set()  # Names of processes that a fault in progress uses.
        self.lock = threading.Lock()
        self.kinds = {
            "kill-proxy": lambda hold: self._kill(self.cluster.proxies, hold),
            "kill-control": lambda hold: self._kill(self.cluster.control, hold),
            "kill-primary": lambda hold: self._kill(self._primaries(), hold),
            "kill-replica": lambda hold: self._kill(self._replicas(), hold),
            "suspend-proxy": lambda hold: self._suspend(self.cluster.proxies, hold),
            "suspend-control": lambda hold: self._suspend(self.cluster.control, hold),
            "suspend-primary": lambda hold: self._suspend(self._primaries(), hold),
            "suspend-replica": lambda hold: self._suspend(self._replicas(), hold),
            "stop-proxy": lambda hold: self._stop(self.cluster.proxies, hold),
            "leave-replica": lambda hold: self._stop(self._replicas(), hold),
            "leave-primary": lambda hold: self._stop(self._primaries(), hold),
            "stall": lambda hold: self._database_fault(hold, "stall", stall=True),
            "slow": lambda hold: self._database_fault(hold, "slow_factor", slow_factor=20),
            "torn": lambda hold: self._database_fault(hold, "torn", torn=ANSWER_FAULT_PROBABILITY),
            "late": lambda hold: self._database_fault(hold, "late", late=ANSWER_FAULT_PROBABILITY, late_ms=400),
            "reordered": lambda hold: self._database_fault(hold, "reordered", reordered=ANSWER_FAULT_PROBABILITY),
            "drop": lambda hold: self._database_fault(hold, "drop", drop=ANSWER_FAULT_PROBABILITY),
            "refuse": lambda hold: self._database_fault(hold, "refuse", refuse=True),
            "cut-group": lambda hold: self._database_fault(hold, "cut_group", primary=True, cut_group=True),
            "cut-all": lambda hold: self._database_fault(hold, "cut_all", cut_all=True),
            "configuration": self._change_configuration,
            "racing-operators": self._race_operators,
        }
        self.turn = []

    def draw(self):
        """Next fault kinds: one, or two at once; each kind comes up once before any comes again."""
        count = self.random.choice((1, 2))
        while len(self.turn) < count:
            fresh = sorted(self.kinds)
            self.random.shuffle(fresh)
            self.turn += fresh
        return [self.turn.pop(0) for _ in range(count)], [self.random.uniform(0.3, 3.0) for _ in range(count)]

    def run(self, kinds, holds):
        """Runs the faults at the same time and waits until all are healed."""
        threads = [threading.Thread(target=self._run_one, args=pair) for pair in zip(kinds, holds)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_one(self, kind, hold):
        try:
            fired = self.kinds[kind](hold)
        except Exception as error:  # A driver failure must be reported, not end a thread silently.
            self.problems.append(f"{kind}: {type(error).__name__}: {error}")
            fired = 0
        with self.lock:
            self.counts[kind] = self.counts.get(kind, 0) + (fired or 0)

    def _claim(self, processes):
        with self.lock:
            free = [process for process in processes if process.name not in self.busy and process.is_running()]
            if not free:
                return None
            process = free[self.random.randrange(len(free))]
            self.busy.add(process.name)
            return process

    def _release(self, process):
        with self.lock:
            self.busy.discard(process.name)

    def _primaries(self):
        found = [self.cluster.primary(group) for group in self.cluster.groups]
        return [database.process for database in found if database]

    def _replicas(self):
        primaries = self._primaries()
        return [database.process for database in self.cluster.databases if database.process not in primaries]

    def _kill(self, processes, hold):
        process = self._claim(processes)
        if process is None:
            return 0
        process.kill()
        time.sleep(hold)
        process.start()
        self._release(process)
        return 1

    def _suspend(self, processes, hold):
        process = self._claim(processes)
        if process is None:
            return 0
        process.suspend()
        time.sleep(hold)
        process.resume()
        self._release(process)
        return 1

    def _stop(self, processes, hold):
        process = self._claim(processes)
        if process is None:
            return 0
        code = process.stop()
        if code != 0:
            self.problems.append(f"{process.name} ended a planned stop with exit code {code}")
        time.sleep(hold)
        process.start()
        self._release(process)
        return 1

    def _database_fault(self, hold, counter, primary=False, **fields):
        processes = self._primaries() if primary else [database.process for database in self.cluster.databases]
        process = self._claim(processes)
        if process is None:
            return 0
        database = next(candidate for candidate in self.cluster.databases if candidate.process is process)
        before = database.fired().get(counter, 0)
        database.faults(**fields)
        time.sleep(hold)
        database.faults()
        self._release(process)
        return database.fired().get(counter, 0) - before

    def _change_configuration(self, _):
        spec = dict(self.cluster.policy, long_share_percent=self.random.randrange(10, 40))
        change_id = str(uuid.uuid4())
        version = wait_for("the policy can be read", lambda: self.cluster.version("policy", "standard"), 30)
        first = self.cluster.apply("policy", "standard", spec, change_id, version)
        # An operator who got no answer, or got one and repeats the request, must see one result.
        again = wait_for("the change is answered", lambda: self._answered(self.cluster.apply("policy", "standard", spec, change_id, version)), 30)
        if first[0] in (200, 201) and again != first:
            self.problems.append(f"a repeated change got another result: {first} and {again}")
        return 1

    @staticmethod
    def _answered(result):
        return result if result[0] in (200, 201, 400, 409) else None

    def _race_operators(self, _):
        version = wait_for("the limits can be read", lambda: self.cluster.version("limits", "standard"), 30)
        results = [None, None]

        def change(index):
            spec = dict(self.cluster.limits, queue_length=1000 + self.random.randrange(1000))
            change_id = str(uuid.uuid4())
            results[index] = wait_for("the change is answered",
                                      lambda: self._answered(self.cluster.apply("limits", "standard", spec, change_id, version)), 30)

        threads = [threading.Thread(target=change, args=(index,)) for index in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [result for result in results if result and result[0] in (200, 201)]
        if len(won) != 1:
            self.problems.append(f"of two changes that expected version {version}, {len(won)} won: {results}")
        return 1
