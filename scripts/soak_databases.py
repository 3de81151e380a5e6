"""Stand-in for the databases and the platform of a soak: replication, promotion, heartbeats and the wire of the databases."""

import asyncio
import json
import random
import time

import soak_text

REPLICATION_S = 0.005  # between two deliveries to the replicas
LAG_S = 0.06  # from receipt to application at a replica, as in the deployments
PROMOTION_S = 0.3
REPLACED_S = 1.0  # without fencing, a replaced primary stops this long after it reaches the new one
LATE_ORDERS = 0.3  # without fencing: share of the orders that get no answer and are carried out late
LATE_S = (2.0, 10.0)
STATEMENT_S = 0.002
CONNECTION_S = 0.012  # a new connection occupies a slot
SLOW_ITEM, SLOW_READ_S = "slow", 0.2  # reads of this item take longer
SLOT_WAIT_S = 0.05  # a statement waits for a slot, then the answer is BUSY
HEARTBEAT_S = 0.4
REPORT_LENGTH = 1000  # characters of a violation that are shown
CALL_LIMIT_S = 1.0  # a heartbeat without an acknowledgement goes to the next member


class Ledger:
    """What callers asked for and were told, and the rules that were broken."""

    def __init__(self):
        self.asked = {}  # id -> (verb, item, data, shape, values of the session, key of the operation)
        self.ran = {}  # id -> number of runs
        self.services = {}  # id -> service at which it ran last
        self.acknowledged = {}  # data -> service
        self.refused = set()
        self.places = {}  # key of a transaction -> its transaction on a database
        self.problems = []

    def report(self, text):
        self.problems.append(text)
        if len(self.problems) <= 20:
            print("violation:", ascii(text)[1:-1][:REPORT_LENGTH], flush=True)


async def call(address, method, path, body=None, headers=()):
    """One HTTP request; returns the status, or 0 without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json", f"Content-Length: {len(data)}", "Connection: close"]
            writer.write("\r\n".join([*lines, *headers, "", ""]).encode() + data)
            return int((await reader.readline()).split()[1])
    except (OSError, ValueError, IndexError, TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


class Service:
    """Databases with one log; the platform knows the primary.

    With fencing, the platform refuses lower tokens and a replaced primary stops at once. Without, it goes on until it is told to stop or
    has reached the new one for a moment.
    """

    def __init__(self, name, fenced=True):
        self.name, self.fenced = name, fenced
        self.databases = []
        self.term = 1
        self.starts = {1: 0}  # length of the log when a term began
        self.primary = None
        self.tokens = {}  # highest fencing token -> its holder
        self.connections = 24

    def position(self, term, length):
        return max((t, length) for t, start in self.starts.items() if t <= term and start <= length)

    def deliver(self):
        primary = self.primary
        if not primary or not primary.reaches() or primary.role != "primary":
            return
        for database in self.databases:
            if database is primary or not database.reaches() or database.paused or not self.has_learned(database):
                continue
            database.follow(self)
            if len(database.log) < len(primary.log):
                database.log.extend(primary.log[len(database.log):])
                database.pending.append((time.monotonic() + LAG_S, len(database.log)))

    def has_learned(self, database):
        """Tells whether a database knows that another one leads; a replaced primary that reaches the new one learns it after a time."""
        if database.role == "primary":
            database.reached_since = database.reached_since or time.monotonic()
            if time.monotonic() - database.reached_since < REPLACED_S:
                return False
            database.role = "replica"
            database.beat_now.set()
        database.reached_since = None
        return True

    def promote(self, database, token):
        if self.fenced and token < max(self.tokens, default=0) or not database.running or database is self.primary and database.role == "primary":
            return
        self.term += 1
        self.starts[self.term] = len(database.log)
        former, self.primary = self.primary, database
        database.role, database.term, database.paused, database.applied = "primary", self.term, 0, len(database.log)
        for other in self.databases:
            if other is not database and other.running and not (not self.fenced and other.role == "primary"):
                other.role = "replica"
                other.follow(self)
                other.paused = 0
                other.beat_now.set()
        if former and former is not database and self.fenced:
            former.role = "replica"
        database.beat_now.set()


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.state = "I"
        self.plain = False
        self.term = 0
        self.writes = []
        self.key = None  # operation whose statements the open transaction holds
        self.values = {}
        self.prepared = {}
        self.transaction = None

    def end(self):
        self.state, self.writes, self.key, self.transaction = "I", [], None, None


class Database:
    """One database; fields set from the fault thread are only flags."""

    def __init__(self, identifier, service, address, members, ledger, zone):
        self.id, self.service, self.address, self.members, self.ledger, self.zone = identifier, service, address, members, ledger, zone
        self.role, self.term, self.paused = "replica", 1, 0
        self.log, self.applied, self.pending = [], 0, []
        self.items, self.indexed = {}, 0
        self.running = False
        self.reached_since = None  # while it goes on although it was replaced: when it reached the new primary
        self.open_gate = asyncio.Event()  # cleared: lines wait
        self.answer_gate = asyncio.Event()  # cleared: answers wait
        self.delay = 0.0
        self.connections = set()
        self.slots = asyncio.Semaphore(3)
        self.beat_now = asyncio.Event()
        self.sequence = 0
        self.tasks = []
        self.server = None

    def reaches(self):
        return self.running and self.open_gate.is_set() and self.answer_gate.is_set()

    def follow(self, service):
        """Takes the log of the present term, without what only the former primary had."""
        if self.term == service.term:
            return
        primary = service.primary
        length = min(len(self.log), len(primary.log))
        while length and self.log[length - 1] is not primary.log[length - 1]:
            length -= 1
        if length < len(self.log):
            del self.log[length:]
            self.items, self.indexed = {}, 0
        self.applied = min(self.applied_now(), length)
        self.pending = []
        if self.applied < length:
            self.pending.append((time.monotonic() + LAG_S, length))
        self.term, self.role = service.term, "replica"

    def applied_now(self):
        if self.role == "primary":
            self.applied = len(self.log)
        now = time.monotonic()
        while self.pending and self.pending[0][0] <= now:
            self.applied = max(self.applied, min(self.pending.pop(0)[1], len(self.log)))
        return self.applied

    def read(self, item):
        applied = self.applied_now()
        if applied < self.indexed:
            self.items, self.indexed = {}, 0
        for entry in self.log[self.indexed:applied]:
            self.items.update(entry)
        self.indexed = applied
        return self.items.get(item, "-")

    # Faults

    async def start(self):
        self.open_gate.set()
        self.answer_gate.set()
        self.delay, self.paused, self.sequence, self.running = 0.0, 0, 0, True
        self.born = int(time.time() * 1000)
        if self.role == "primary" and self.service.primary is not self:
            self.role = "replica"
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 21, backlog=1000)
        self.tasks = [asyncio.create_task(self._beat())]

    async def kill(self):
        self.running = False
        self.open_gate.set()
        self.answer_gate.set()
        self.server.close()
        for task in self.tasks:
            task.cancel()
        self.reset()

    def reset(self):
        for connection in list(self.connections):
            connection.writer.transport.abort()

    # Heartbeats

    async def _beat(self):
        target = 0
        while True:
            if self.open_gate.is_set() and self.answer_gate.is_set():
                self.sequence += 1
                body = {"service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1", "slots": 3, "state": "ready",
                        "warmup_left_ms": 0, "db_role": self.role, "seq": self.sequence, "born": self.born}
                if await call(self.members[target], "POST", f"/waxwingtrestle/instances/{self.id}/heartbeat", body) != 200:
                    target = (target + 1) % len(self.members)
                    await asyncio.sleep(0.05)
                    continue
            self.beat_now.clear()
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_S)
            except TimeoutError:
                pass

    # The wire

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            while line := await reader.readline():
                await self.open_gate.wait()
                if not self.running:
                    break
                if len(line) > soak_text.MESSAGE_LIMIT:
                    self.ledger.report(f"{self.id} got a message of {len(line)} bytes")
                    break
                kind, _, rest = line.decode("latin-1").removesuffix("\r\n").partition(" ")
                answer = await (self._start(connection, rest) if kind == "STARTUP" else self._query(connection, rest))
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.answer_gate.wait()
                if answer is None or not self.running:
                    break
                writer.write(answer.encode("latin-1"))
                if "READY" not in answer:
                    break
                await writer.drain()
        except (OSError, ValueError):
            pass  # The caller closed or the fault reset the connection; a transaction rolls back.
        finally:
            self.connections.discard(connection)
            writer.close()

    def _position(self):
        term, length = self.service.position(self.term, self.applied_now())
        return f"{term}.{length}"

    def _ready(self, connection, text):
        return f"{text}\r\nREADY {connection.state} {self._position()}\r\n"

    def _error(self, connection, code):
        if connection.state == "T" and code != "BUSY":
            connection.state = "E"
        return self._ready(connection, f"ERROR {code} {self.id}")

    async def _start(self, connection, rest):
        words = rest.split(" ")
        if words[0] != self.service.name or len(words) > 2 and words[2] != self.id:
            return "ERROR WRONGNODE -\r\n"
        if len(self.connections) > self.service.connections:
            return "ERROR TOOMANY -\r\n"
        async with self.slots:
            await asyncio.sleep(CONNECTION_S)
        return f"READY I {self._position()}\r\n"

    async def _query(self, connection, rest):
        identifier, _, text = rest.partition(" ")
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            term, number = required.split(".")
            verb, _, rest = text.partition(" ")
            if self.service.position(self.term, self.applied_now()) < (int(term), int(number)):
                return self._error(connection, "LAGGING")
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            try:
                await asyncio.wait_for(self.slots.acquire(), SLOT_WAIT_S)
            except TimeoutError:
                return self._error(connection, "BUSY")
            try:
                await asyncio.sleep(STATEMENT_S)
            finally:
                self.slots.release()
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            return self._command(connection, verb, rest)
        if connection.state == "T" and connection.plain and (self.role != "primary" or connection.term != self.term) and (
                verb != "ROLLBACK" and (verb != "COMMIT" or connection.writes)):
            return self._error(connection, "READONLY")
        if verb == "BEGIN":
            if not rest and self.role != "primary":
                return self._error(connection, "READONLY")
            connection.end()
            connection.state, connection.plain, connection.term, connection.transaction = "T", not rest, self.term, object()
            return self._ready(connection, "COMPLETE -")
        if verb == "ROLLBACK":
            connection.end()
            return self._ready(connection, "COMPLETE -")
        if verb == "SET":
            name, _, value = rest.partition(" ")
            connection.values[name] = value
            return self._ready(connection, "COMPLETE -")
        if verb == "DISCARD":
            connection.values, connection.prepared = {}, {}
            return self._ready(connection, "COMPLETE -")
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            connection.prepared[name] = (access, shape)
            return self._ready(connection, "COMPLETE -")
        return await self._statement(connection, identifier, verb, rest)

    def _command(self, connection, verb, rest):
        if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
            self.paused = int(rest)
        elif verb == "STEPDOWN" and self.role == "primary" and self.term < int(rest):
            self.role = "replica"
            self.beat_now.set()
        elif verb == "RESUME":
            self.paused = 0
        term, length = self.service.position(self.term, len(self.log))
        lag = 0 if self.applied_now() == len(self.log) else int(LAG_S * 1000)
        return self._ready(connection, f"DATAROW {self.role} {self.term} {term}.{length} {self.paused} {lag} 0 {len(self.connections)}\r\nCOMPLETE -")

    def _check(self, connection, identifier, verb, item, data, shape):
        """Compares a statement with what its caller asked for and notes where it runs."""
        ledger = self.ledger
        asked = ledger.asked.get(identifier)
        if not asked or asked[:4] != (verb, item, data, shape):
            ledger.report(f"{self.id}: {identifier} ran as {verb} {item} {data} {shape}, asked for was {asked}")
            return
        if verb != "COMMIT" and connection.values != asked[4]:
            ledger.report(f"{self.id}: {identifier} ran with the values {connection.values} instead of {asked[4]}")
        key = asked[5]
        if connection.transaction:
            if connection.key not in (None, key):
                ledger.report(f"{self.id}: {identifier} ran inside of the transaction of {connection.key}")
            connection.key = key
        if key.startswith("t"):
            if not connection.transaction:
                ledger.report(f"{self.id}: {identifier} ran outside of its transaction")
            if identifier.endswith("-1"):  # The first statement may be tried again elsewhere.
                ledger.places[key] = connection.transaction
            elif ledger.places.get(key, connection.transaction) is not connection.transaction:
                ledger.report(f"{self.id}: {identifier} ran on another connection than the transaction's first statement")
        ledger.services[identifier] = self.service.name
        ledger.ran[identifier] = ledger.ran.get(identifier, 0) + 1

    async def _statement(self, connection, identifier, verb, rest):
        item, _, data = rest.partition(" ") if verb != "READ" else (rest, "", "")
        shape = None
        if verb == "EXECUTE":
            known = connection.prepared.get(item)
            if known is None:
                return self._error(connection, "NOSTMT")
            verb, shape = known
            item, _, data = data.partition(" ")
        if verb not in ("READ", "WRITE", "COMMIT") or connection.state == "E":
            return self._error(connection, "MALFORMED")
        if verb == "WRITE" and (self.role != "primary" or connection.state == "T" and not connection.plain):
            return self._error(connection, "READONLY")
        if identifier != "-":
            self._check(connection, identifier, verb, item, data, shape)
        signature = f"COMPLETE {self.id}.{identifier}"
        if verb == "READ":
            if item == SLOW_ITEM:
                await asyncio.sleep(SLOW_READ_S)
            return self._ready(connection, f"DATAROW {self.read(item)}\r\n{signature}")
        if verb == "WRITE":
            connection.writes.append((item, data))
            if connection.state == "T":
                return self._ready(connection, signature)
        writes = connection.writes
        connection.end()
        if writes and not await self._commit(writes):
            return None
        return self._ready(connection, signature)

    async def _commit(self, writes):
        """Adds an entry and waits until a replica has received it; false when it stays unknown."""
        term = self.term
        self.log.append(writes)
        length = len(self.log)
        while self.running and self.term == term:
            if any(len(other.log) >= length and other.term == term for other in self.service.databases if other is not self and other.running):
                return True
            if self.role != "primary":
                return False
            await asyncio.sleep(REPLICATION_S)
        return False


class Platform:
    """Takes the orders to promote and checks their fences, or leaves some unanswered and carries them out late."""

    def __init__(self, services, ledger):
        self.services, self.ledger, self.server = services, ledger, None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)
        asyncio.create_task(self._replicate())

    async def _replicate(self):
        while True:
            for service in self.services.values():
                service.deliver()
            await asyncio.sleep(REPLICATION_S)

    def _promote(self, headers, body):
        service = self.services[body["service"]]
        token, holder = int(headers["fencing-token"]), headers["lease-holder"]
        if token < max(service.tokens, default=0):
            if not service.fenced:
                self.ledger.report(f"{holder} sends the token {token} after {max(service.tokens)}")
            return 409
        if service.tokens.setdefault(token, holder) != holder:
            self.ledger.report(f"{holder} and {service.tokens[token]} promote with the token {token}")
        database = next((database for database in service.databases if database.id == body["id"]), None)
        if database is None or not database.running:
            return 409
        late = not service.fenced and random.random() < LATE_ORDERS
        asyncio.get_running_loop().call_later(random.uniform(*LATE_S) if late else PROMOTION_S, service.promote, database, token)
        return None if late else 200

    async def _serve(self, reader, writer):
        try:
            while request := await reader.readline():
                headers = {}
                while (line := (await reader.readline()).decode().strip()):
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or "{}")
                status = self._promote(headers, body) if request.startswith(b"POST /promote") else 404
                if status is None:
                    break
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller went away.
        finally:
            writer.close()
