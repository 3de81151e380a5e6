"""Configurations of a soak whose versions differ in names, services and time-outs, and a checker of what proxies obey."""

import asyncio
import random
import threading
import time

import soak_callers
import soak_databases
from waxwing_processes import request

APPLY_LIMIT_S = 4.0  # an acknowledged version is in force at every proxy in touch
CONTACT_S = 5.0  # without a fault this long, a proxy is in touch
REGRESSION_S = 0.25  # after a database saw the effect of a version, the same process does not act by an older one
SLOWED_REGRESSION_S = 8 * REGRESSION_S
# Far more versions than are sent within APPLY_LIMIT_S: otherwise one of those that may be in force allows any answer.
LIFETIME = 60  # versions that name each added host
SERVICE_VERSIONS, TIMEOUT_VERSIONS = 40, 25  # versions with the same service or time-out
SHOWN = 4  # versions in a report
SHORT_MS, LONG_MS = 60, 1000  # time-outs below and above soak_databases.SLOW_READ_S
PROBE_S = (0.1, 0.4)
READ_LIMIT_S = 1.0
LONG_SESSION_READS = 3


class Version:
    """One version of the configuration: what it allows, and when it was sent and acknowledged."""

    def __init__(self, number, services):
        self.number = number
        added = {f"added-{n}" for n in range(max(1, number - LIFETIME + 1), number + 1)}
        self.names = added | {"moved", "short"} if number else set()
        self.service = services[number // SERVICE_VERSIONS % len(services)] if number else None
        self.timeout_ms = (LONG_MS, SHORT_MS)[number // TIMEOUT_VERSIONS % 2]
        self.sent = time.monotonic()
        self.acknowledged = float("inf")
        self.member = None

    def routes(self):
        template = soak_callers.routes([self.service], LONG_MS)[0]
        return [dict(template, name=f"r-{name}", host=name, timeout_ms=self.timeout_ms if name == "short" else LONG_MS) for name in sorted(self.names)]


class Versions:
    def __init__(self, services):
        self.services, self.lock = services, threading.Lock()
        self.versions = {0: Version(0, services)}  # nothing is known before the first one
        self.versions[0].acknowledged = self.versions[0].sent

    def send(self, number):
        with self.lock:
            version = self.versions[number] = Version(number, self.services)
        return version

    def acknowledge(self, number, member):
        with self.lock:
            version = self.versions[number]
            if version.acknowledged == float("inf"):
                version.acknowledged, version.member = time.monotonic(), member

    def newest_acknowledged(self, before):
        """Number of the newest version that was acknowledged before a time; 0 if there is none."""
        with self.lock:
            return max((version.number for version in self.versions.values() if version.acknowledged < before), default=0)

    def possible(self, lowest, until):
        """Versions from the lowest one on that were sent before a time."""
        with self.lock:
            return [version for version in self.versions.values() if version.number >= lowest and version.sent < until]


class Checker:
    """Probes all proxies and members; `touched(proxy index, since)` tells whether a fault may excuse a proxy."""

    def __init__(self, versions, proxies, members, ledger, touched, stored, seed):
        self.versions, self.proxies, self.members, self.ledger = versions, proxies, members, ledger
        self.touched, self.stored = touched, stored
        self.random = random.Random(f"{seed}/configuration")
        self.proven = {}  # (proxy index, process id) -> (version, time at which its effect was seen)
        self.counts = {"in touch": 0, "out of touch": 0, "reads": 0, "late": 0, "regressions": 0, "stale reads": 0}
        self.worst = {}  # proxy name -> number of late requests
        self.number, self.outcomes = 0, {}

    async def run(self, index, long):
        """Probes one proxy with short sessions, or with long ones that outlive versions."""
        while True:
            await asyncio.sleep(self.random.uniform(*PROBE_S))
            try:
                await self._probe(index, long)
            except (soak_callers.SessionEnded, TimeoutError):
                pass  # No answer tells nothing of the version.

    def _pick(self):
        newest = self.versions.newest_acknowledged(time.monotonic())
        if newest == 0:
            return None
        draw = self.random.random()
        if draw < 0.15:
            return "moved"
        if draw < 0.25:
            return "short"
        if draw < 0.3:
            return "never"
        return f"added-{max(1, newest - self.random.randint(0, 2 * LIFETIME))}"

    async def _probe(self, index, long):
        name = self._pick()
        if name is None:
            return
        proxy = self.proxies[index]
        process = proxy.process.pid
        sent = time.monotonic()
        session, refusal = await self._open(proxy.callers, name)
        if refusal is not None:
            self._count(f"start {refusal or 'closed'}")
            if refusal == "NODB":
                self._judge(index, process, name, sent, "was refused as unknown", lambda version: name not in version.names)
            return
        try:
            await self._read(session, index, process, name)
            if long:
                for _ in range(LONG_SESSION_READS):
                    await asyncio.sleep(self.random.uniform(0, APPLY_LIMIT_S))
                    await self._read(session, index, process, name)
        finally:
            session.close()

    def _count(self, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def _open(self, address, name):
        """Opens a session; returns it, or the code of the refusal."""
        try:
            return await soak_callers.Session.open(address, name), None
        except soak_callers.SessionEnded as error:
            code = error.answer[3].split(" ", 1)[0] if error.answer and error.answer[2] == "ERROR" else ""
            return None, code

    async def _read(self, session, index, process, name):
        self.number += 1
        identifier = f"c{index}-{self.number}"
        item = soak_databases.SLOW_ITEM if name == "short" else "checked"
        self.ledger.asked[identifier] = ("READ", item, "", None, {}, identifier)
        sent = time.monotonic()
        async with asyncio.timeout(soak_callers.ANSWER_LIMIT_S):
            _, _, word, rest = await session.call(f"QUERY {identifier} READ {item}")
        took = time.monotonic() - sent
        self._count(word if word == "COMPLETE" else rest.split(" ", 1)[0])
        if word == "COMPLETE":
            service = self.ledger.services.get(identifier)
            if name == "short":
                self._judge(index, process, name, sent, f"ran for {took:.3f} s", lambda version: version.timeout_ms == LONG_MS)
            elif name == "moved":
                self._judge(index, process, name, sent, f"ran at {service}", lambda version: version.service == service)
            else:
                self._judge(index, process, name, sent, f"ran at {service}", lambda version: name in version.names and version.service == service)
        elif rest.startswith("NODB"):
            self._judge(index, process, name, sent, "was refused as unknown", lambda version: name not in version.names)

    def _judge(self, index, process, name, sent, what, allows):
        """Reports a request that only versions older than those due allow."""
        now = time.monotonic()
        proxy = self.proxies[index]
        bound = self.versions.newest_acknowledged(sent - APPLY_LIMIT_S)
        touched = self.touched(index, sent - CONTACT_S, now)
        proven, at = self.proven.get((index, process), (0, 0.0))
        regression = sent > at + (SLOWED_REGRESSION_S if proxy.was_suspended else REGRESSION_S)
        lowest = 0 if touched else bound
        self.counts["out of touch" if touched else "in touch"] += 1
        allowed = [version.number for version in self.versions.possible(0, now) if allows(version)]
        if what.startswith("ran") and allowed and min(allowed) > proven:
            self.proven[index, process] = (min(allowed), now)
        if not any(number >= lowest for number in allowed):
            due = self.versions.versions.get(lowest)
            self.counts["late"] += 1
            self.worst[proxy.name] = self.worst.get(proxy.name, 0) + 1
            self.ledger.report(f"{proxy.name}: {name} {what} {sent - due.acknowledged if due else 0:.2f} s after version {lowest} was acknowledged by "
                               f"{due.member if due else '-'} at {time.strftime('%H:%M:%S', time.localtime(time.time() - now + due.acknowledged)) if due else '-'}; "
                               f"allowed by the versions {allowed[-SHOWN:]}")
        elif regression and not any(number >= proven for number in allowed):
            self.counts["regressions"] += 1
            self.ledger.report(f"{proxy.name}: {name} {what} {sent - at:.2f} s after it acted by version {proven}; allowed by the versions {allowed[-SHOWN:]}")

    def read_members(self, stopped):
        """Reads the configuration at each member in turn; runs in a thread of its own."""
        while not stopped.wait(0.1):
            for member in list(self.members):
                sent = time.monotonic()
                status, body = request(member, "GET", "/waxwingtrestle/config/get", timeout=READ_LIMIT_S)
                if status == 0 or status >= 500:
                    continue
                self.counts["reads"] += 1
                due = self.versions.newest_acknowledged(sent - APPLY_LIMIT_S)
                number = body.get("version", 0) if status == 200 and isinstance(body, dict) else 0
                if status != 200 or number < due:
                    self.counts["stale reads"] += 1
                    self.ledger.report(f"{member} answered a read of the configuration with {status}, version {number}; version {due} was acknowledged before")
                elif body != self.stored.get(number):
                    self.ledger.report(f"{member} answered a read of the configuration with other content than was sent as version {number}")
