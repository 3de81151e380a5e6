"""Callers of a soak: sessions that stay open until their process is gone, and what they may be told."""

import asyncio
import time

import soak_text

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}  # nothing of the attempt is kept
START_LIMIT_S = 2.0  # callers close a session whose start takes longer
ANSWER_LIMIT_S = 10.0  # deadline of an operation in the deployments
MAX_AGE_MS = 1500
PROBE_S = 1.0
EAGER_CALLERS = 6  # with eager callers, one of this many uses its session without a pause until the proxy closes it


def routes(services, timeout_ms):
    """One route of each kind for each service: (name, kind, service)."""
    result = []
    for service in services:
        for kind in ("primary", "read_your_writes", "bounded_staleness"):
            route = {"name": f"r-{kind}-{service}", "host": f"{kind}-{service}", "path_prefix": "/", "kind": kind, "timeout_ms": timeout_ms,
                     "target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": 2}
            if kind != "primary":
                route["max_staleness_ms"] = MAX_AGE_MS
            result.append(route)
    return result


class SessionEnded(Exception):
    """The connection ended; `answer` is what was received before, as of Session.call()."""

    def __init__(self, text, answer=None):
        super().__init__(text)
        self.answer = answer


class Session:
    """One connection to a proxy."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address, database):
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(START_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, int(port), limit=2 * soak_text.MESSAGE_LIMIT)
                session = cls(reader, writer)
                answer = await session.call(f"STARTUP {database} u1")
        except (OSError, TimeoutError) as error:
            raise SessionEnded(str(error)) from error
        if answer[0] != "READY I":
            session.close()
            raise SessionEnded(str(answer), answer)
        return session

    async def call(self, line):
        """Sends a line; returns (state, rows, "COMPLETE" or "ERROR", its rest)."""
        rows, word, rest = [], "", ""
        try:
            self.writer.write(line.encode("latin-1") + b"\r\n")
            while data := await self.reader.readline():
                if not data.endswith(b"\r\n"):
                    break
                kind, _, text = data.decode("latin-1").removesuffix("\r\n").partition(" ")
                if kind == "READY":
                    return f"READY {text[0]}", rows, word, rest
                if kind == "DATAROW":
                    rows.append(text)
                else:
                    word, rest = kind, text
        except OSError:
            pass  # Reset, which is an end as well.
        raise SessionEnded(f"closed {word} {rest}".rstrip(), ("", rows, word, rest))

    def close(self):
        self.writer.transport.abort()


class Balancer:
    """Asks each proxy whether it is ready; two misses take it out, as the load balancer of the platform does."""

    def __init__(self, proxies, call):
        self.proxies, self.call = proxies, call
        self.misses = [2] * len(proxies)

    async def run(self, index):
        while True:
            status = await self.call(self.proxies[index].ready, "GET", "/waxwingtrestle/ready")
            self.misses[index] = 0 if status == 200 else self.misses[index] + 1
            await asyncio.sleep(PROBE_S)

    def pick(self, random, preferred):
        ready = [index for index, misses in enumerate(self.misses) if misses < 2]
        return preferred if preferred in ready or not ready else random.choice(ready)


class Caller:
    """Runs operations one after the other and checks each answer."""

    def __init__(self, number, preferred, services, balancer, ledger, random, lost, eager, text=None):
        self.number, self.preferred, self.services = number, preferred, services
        self.balancer, self.ledger, self.random, self.lost = balancer, ledger, random, lost
        self.text = text  # soak_text.FreeText, or nothing if all fields are plain words
        self.pauses = not eager or number % EAGER_CALLERS != 0
        self.writes = {}  # item -> list of [data, status, acknowledged at]
        self.served = {}  # kind of operation -> time of the last success
        self.counts = {}
        self.sessions = self.operations = 0

    async def run(self):
        while True:
            self.sessions += 1
            index = self.balancer.pick(self.random, self.preferred)
            kind = self.random.choice(("primary", "read_your_writes", "bounded_staleness"))
            service = self.random.choice(self.services)
            session = None
            try:
                session = await Session.open(self.balancer.proxies[index].callers, f"{kind}-{service}")
                await self._prepare(session)
                while True:
                    if self.text:
                        await self._vary(session)
                    await self._operation(session, index, kind, service)
                    await asyncio.sleep(self.random.uniform(0.02, 0.12) if self.pauses else 0)
            except (SessionEnded, TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                if session:
                    session.close()

    async def _prepare(self, session):
        """Values and statements under names that collide between callers."""
        self.values = {"zone": f"z{self.number}-{self.sessions}"} if self.random.random() < 0.7 else {}
        self.names = {"READ": "s1", "WRITE": "s2"}
        self.shapes = {"READ": f"q{self.number % 3}", "WRITE": f"q{self.number % 2}"}
        if self.text:
            self.values = {name: self.text.text() for name in self.values}
            self.names = dict(zip(self.names, self.text.names(2)))
            self.shapes = {access: self.text.shape() for access in self.shapes}
        for name, value in self.values.items():
            await self._checked(session, f"SET {name} {value}")
        for access, shape in self.shapes.items():
            await self._checked(session, f"PREPARE {self.names[access]} {access} {shape}")

    async def _checked(self, session, text):
        async with asyncio.timeout(ANSWER_LIMIT_S):
            answer = await session.call(f"QUERY p{self.number} {text}")
        if answer[2] != "COMPLETE":
            if self.text and answer[3].startswith("MALFORMED"):
                self.ledger.report(f"caller {self.number}: {text!r:.300} got {answer[3]}")
            raise SessionEnded(f"{text}: {answer}")
        return answer

    async def _set_again(self, session):
        name, value = self.text.random.choice(soak_text.VALUES), self.text.text()
        await self._checked(session, f"SET {name} {value}")
        self.values = {**self.values, name: value}

    async def _prepare_again(self, session):
        """Removes a statement and prepares another one, under the same name or another."""
        access = self.text.random.choice(("READ", "WRITE"))
        former, other = self.names[access], self.names["WRITE" if access == "READ" else "READ"]
        await self._checked(session, f"DEALLOCATE {former}")
        name = former if self.text.chance(0.6) else next(name for name in self.text.names(2) if name != other)
        if name != former or self.text.chance(0.3):
            await self._execute_unknown(session, former, "READY I")
        shape = self.text.shape()
        await self._checked(session, f"PREPARE {name} {access} {shape}")
        self.names = {**self.names, access: name}
        self.shapes = {**self.shapes, access: shape}

    async def _execute_unknown(self, session, name, state):
        async with asyncio.timeout(ANSWER_LIMIT_S):
            answer = await session.call(f"QUERY u{self.number} EXECUTE {name} unknown {self.text.text()}")
        if answer[2] != "ERROR" or answer[3].split(" ", 1)[0] not in ("NOSTMT", "TOOLARGE") or answer[0] != state:
            self.ledger.report(f"caller {self.number}: EXECUTE of the unknown name {name!r} got {answer}")
            raise SessionEnded(str(answer))

    async def _vary(self, session):
        draw = self.text.random.random()
        if draw < 0.08:
            await self._set_again(session)
        elif draw < 0.16:
            await self._prepare_again(session)
        elif draw < 0.2:
            await self._execute_unknown(session, next(name for name in self.text.names(3) if name not in self.names.values()), "READY I")

    def _data(self, identifier):
        return self.text.data(f"d{identifier}.") if self.text else "d" + identifier

    async def _operation(self, session, index, kind, service):
        self.operations += 1
        key = f"{self.number}-{self.operations}"
        # Items of a session show its own writes; those of a caller also what its earlier sessions wrote.
        item = f"{service}-{self.number}" + (f"-{self.sessions}" if kind != "primary" else "")
        draw = self.random.random()
        if draw < 0.35 and kind != "bounded_staleness":
            await self._write(session, index, service, "s" + key, item)
        elif draw < 0.55 and kind != "bounded_staleness":
            await self._transaction(session, index, kind, service, "t" + key, item)
        else:
            await self._read(session, index, kind, "s" + key, key, item)

    async def _statement(self, session, index, identifier, key, verb, item="", data=""):
        """Runs one statement; returns (code, state, rows), with the code None for a success and LOST without an answer."""
        shape = None
        text = " ".join(word for word in (verb, item, data) if word)
        if verb != "COMMIT" and self.random.random() < 0.5 and " " not in item:  # the item of an EXECUTE is one word
            shape = self.shapes[verb]
            text = " ".join(word for word in ("EXECUTE", self.names[verb], item, data) if word)
        self.ledger.asked[identifier] = (verb, item, data, shape, self.values, key)
        sent = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                state, rows, word, rest = await session.call(f"QUERY {identifier} {text}")
        except SessionEnded:
            self.lost.append((index, identifier, sent, time.monotonic()))
            self._count("closed")
            return "LOST", "", []
        except TimeoutError:
            self._count("no answer")
            return "LOST", "", []
        if word == "COMPLETE":
            if not rest.endswith("." + identifier):
                self.ledger.report(f"{identifier} got a success with the signature {rest}")
            self._count("done")
            return None, state, rows
        code = rest.split(" ", 1)[0]
        self._count(code)
        if self.text and code == "MALFORMED":
            self.ledger.report(f"{identifier} {text!r:.300} got {rest}")
        return code, state, rows

    def _count(self, outcome):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def _settle(self, service, item, data, status):
        """Notes what became of a write: acknowledged, refused or unknown."""
        self.writes.setdefault(item, []).append([data, status, time.monotonic()])
        if status == "acknowledged":
            self.ledger.acknowledged[data] = service
        elif status == "refused":
            self.ledger.refused.add(data)

    async def _write(self, session, index, service, identifier, item):
        data = self._data(identifier)
        code, state, _ = await self._statement(session, index, identifier, identifier, "WRITE", item, data)
        self._settle(service, item, data, "acknowledged" if code is None else "refused" if code in PROMISES else "unknown")
        self._finish(code, state, "write", service)

    def _finish(self, code, state, kind, service):
        if code is None:
            self.served[kind, service] = time.monotonic()
        if code == "LOST":
            raise SessionEnded("no answer")
        if state != "READY I":
            self.ledger.report(f"caller {self.number}: an operation ended in the state {state}")
            raise SessionEnded(state)

    async def _read(self, session, index, kind, identifier, key, item):
        if self.text and self.text.chance(0.15):
            item = f"{item} {self.text.text()}"
        before = time.monotonic() - (MAX_AGE_MS / 1000 if kind == "bounded_staleness" else 0)
        code, state, rows = await self._statement(session, index, identifier, "s" + key, "READ", item)
        if code is None:
            self._check_read(identifier, kind, item, rows, before)
        self._finish(code, state, "read", item.rsplit("-")[0])

    def _check_read(self, identifier, kind, item, rows, before):
        writes = self.writes.get(item, [])
        due = max((number for number, (_, status, at) in enumerate(writes) if status == "acknowledged" and at < before), default=-1)
        allowed = {data for number, (data, status, _) in enumerate(writes) if status == "unknown" or status == "acknowledged" and number >= due}
        if due < 0:
            allowed.add("-")
        if len(rows) != 1 or rows[0] not in allowed:
            self.ledger.report(f"{identifier} ({kind}) read {rows} of {item}, expected one of {sorted(allowed)}")

    async def _transaction(self, session, index, kind, service, key, item):
        state = (await self._begin(session))[0]
        before = time.monotonic()
        written, code = [], None
        for number in range(1, self.random.randint(2, 4)):
            identifier = f"{key}-{number}"
            if self.text and self.text.chance(0.1):
                await self._set_again(session)
            if self.text and self.text.chance(0.02):
                await self._execute_unknown(session, "unknown", "READY E")
                code = "NOSTMT"
                break
            if number == 1 and self.random.random() < 0.5:
                code, state, rows = await self._statement(session, index, identifier, key, "READ", item)
                if code is None:
                    self._check_read(identifier, kind, item, rows, before)
            else:
                written.append(self._data(identifier))
                code, state, _ = await self._statement(session, index, identifier, key, "WRITE", f"{item}-{len(written)}", written[-1])
            if code is not None:
                break
            await asyncio.sleep(self.random.uniform(0, 0.05))
        status = "refused"
        if code is None and self.random.random() < 0.85:
            code, state, _ = await self._statement(session, index, f"{key}-{number + 1}", key, "COMMIT")
            status = "acknowledged" if code is None else "refused" if code in PROMISES else "unknown"
        elif code != "LOST":
            async with asyncio.timeout(ANSWER_LIMIT_S):
                state = (await session.call(f"QUERY {key}-r ROLLBACK"))[0]
            code = code or "ROLLBACK"
        for number, data in enumerate(written):
            self._settle(service, f"{item}-{number + 1}", data, status)
        self._finish(code, state, "transaction", service)

    async def _begin(self, session):
        async with asyncio.timeout(ANSWER_LIMIT_S):
            answer = await session.call(f"QUERY b{self.number} BEGIN")
        if answer[2] != "COMPLETE":
            raise SessionEnded(str(answer))
        return answer
