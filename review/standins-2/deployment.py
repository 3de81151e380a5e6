"""A small deployment on loopback addresses: the project's own programs as processes, and stand-ins for the clients, the databases,
the platform and the operator, after the users' pages (PROTOCOL.md, DEPLOY.md).

The figures (zones, delays, bounds, limits) are those of the site ppdc-trestle or bainha-sul; a case passes what it changes.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_PATH = "/etc/waxwingtrestle/local.toml"  # place of the settings file in the commands of the deploy file
ZONES = {"caxias": "rs", "joinville": "sc", "curitiba": "pr"}
BETWEEN_S = 0.02  # one way between two databases, which are in different regions
LAG_S = 0.06  # from receipt to application at a replica
HEARTBEAT_MS = 1200
CALL_LIMIT_S = 1.0  # a call to control without an answer goes to the next member
PROMOTE_S = 1.0
WORK_S = 0.005
MESSAGE_LIMIT = 1 << 20


# Settings: the templates of the deploy file

def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(as_text, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    """Fills in a template as DEPLOY.md describes it."""
    tokens = re.split(r"({{.*?}})", template)

    def block(at, scopes, key, last, emits):
        out = []
        while at < len(tokens):
            token = tokens[at]
            at += 1
            name = token[2:-2] if token.startswith("{{") else None
            if name is None:
                out.append(token)
            elif name[0] == "/":
                return at, "".join(out)
            elif name[0] in "#^":
                value = look_up(name[1:], scopes)
                present = value is not None and value is not False and value != [] and value != {}
                if name[0] == "^":
                    end, text = block(at, scopes, key, last, emits and not present)
                    out.append("" if present else text)
                elif present and isinstance(value, (list, dict)):
                    items = list(value.items() if isinstance(value, dict) else enumerate(value))
                    for n, (entry_key, entry) in enumerate(items):
                        end, text = block(at, [*scopes, entry], entry_key, n + 1 == len(items), emits)
                        out.append(text)
                else:
                    end, text = block(at, scopes, key, last, emits and present)
                    out.append(text if present else "")
                at = end
            elif name == "@":
                out.append(str(key))
            elif name == ",":
                out.append("" if last else ",")
            else:
                out.append(as_text(look_up(name, scopes)))
        return at, "".join(out)

    return block(0, [fields], None, True, True)[1]


# Record

class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="ascii")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{time.monotonic() - self.began:9.4f} {text}", flush=True)


# HTTP

async def http(address, method, path, body=None, headers=(), limit=CALL_LIMIT_S, redirects=2):
    """One request; returns the status and the body, or (0, b"") without an answer."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json", f"Content-Length: {len(data)}", "Connection: close"]
            writer.write("\r\n".join([*lines, *headers, "", ""]).encode() + data)
            status = int((await reader.readline()).split()[1])
            length, location = 0, None
            while (line := (await reader.readline()).strip()) != b"":
                name, _, value = line.decode("latin-1").partition(":")
                if name.lower() == "content-length":
                    length = int(value)
                elif name.lower() == "location":
                    location = value.strip()
            answer = await reader.readexactly(length)
    except (OSError, ValueError, IndexError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()
    if status == 307 and location and redirects:
        target = location.split("//", 1)[1]
        return await http(target.split("/", 1)[0], method, "/" + target.split("/", 1)[1], body, headers, limit, redirects - 1)
    return status, answer


# The project's own processes

class Process:
    def __init__(self, name, command, settings, folder):
        self.name, self.folder = name, folder
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.command = [self.settings if word == SETTINGS_PATH else word for word in command]
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.process = None
        self.starts = 0

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(os.path.join(self.folder, self.name + ".out"), "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.starts += 1

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def log(self):
        with open(os.path.join(self.folder, self.name + ".out"), encoding="utf-8", errors="replace") as file:
            return file.read()


# The databases

class Service:
    def __init__(self, name, sync=1, max_conns=21):
        self.name, self.sync, self.max_conns = name, sync, max_conns
        self.databases, self.primary, self.term = [], None, 1
        self.starts = {1: 0}  # length of the log when a term began
        self.token = 0

    def place(self, term, length):
        return max((t, length) for t, start in self.starts.items() if t <= term and start <= length)


class Connection:
    def __init__(self, writer):
        self.writer, self.caller = writer, ""
        self.state, self.plain, self.term, self.writes = "I", False, 0, []
        self.values, self.prepared = {}, {}

    def end(self):
        self.state, self.writes = "I", []


class Database:
    """One database: the wire, replication and heartbeats. A log entry is (item, data, id)."""

    def __init__(self, deployment, identifier, service, zone, address):
        self.deployment, self.record = deployment, deployment.record
        self.id, self.service, self.zone, self.address = identifier, service, zone, address
        self.role, self.term, self.paused = "replica", 1, 0
        self.log, self.applied, self.pending = [], 0, []
        self.deaf = False  # receives nothing from its primary
        self.cut_from_control = False  # partitioned from the core and from control, both ways
        self.draining = False
        self.up, self.server, self.tasks = False, None, []
        self.waiting = []  # commits without a replica: (length, future)
        self.connections = set()
        self.slots = asyncio.Semaphore(3)
        self.sequence, self.born, self.beat_now = 0, 0, asyncio.Event()
        self.beat_attempt_at = 0.0
        self.large = {}  # item -> (rows, bytes of a row)

    # Runs

    async def start(self):
        self.up, self.paused, self.sequence, self.born = True, 0, 0, int(time.time() * 1000)
        if self.role == "primary" and self.service.primary is not self:
            self.role = "replica"
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 21, backlog=1000)
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._replicate())]

    def crash(self):
        self.up = False
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        for _, future in self.waiting:
            future.cancel()
        self.waiting = []

    async def leave(self, drain_s=7.0):
        """Planned replacement: drains, deregisters and exits once that is acknowledged."""
        self.draining = True
        self.beat_now.set()
        await asyncio.sleep(drain_s + 0.5)
        self.tasks[0].cancel()  # no more heartbeats
        body = {"service": self.service.name, "address": self.address, "born": self.born}
        target = 0
        while (await http(self.deployment.members[target], "POST", f"/waxwingtrestle/instances/{self.id}/deregister", body))[0] != 200:
            target = (target + 1) % len(self.deployment.members)
            await asyncio.sleep(0.05)
        self.record.say(f"the deregistration of {self.id} is acknowledged, it exits with {len(self.log)} entries")
        self.crash()
        self.service.databases.remove(self)

    def forget(self):
        """The next run holds and knows nothing of before."""
        self.log, self.applied, self.pending, self.term, self.role = [], 0, [], 1, "replica"

    # Replication

    def applied_now(self):
        if self.role == "primary":
            self.applied, self.pending = len(self.log), []
        while self.pending and self.pending[0][0] <= time.monotonic():
            self.applied = max(self.applied, min(self.pending.pop(0)[1], len(self.log)))
        return self.applied

    async def _replicate(self):
        """The primary repeats what its replicas lack, such as after a restart of theirs."""
        while True:
            await asyncio.sleep(0.05)
            if self.role == "primary" and self.service.primary is self:
                self._ship()

    def _ship(self):
        loop, length = asyncio.get_running_loop(), len(self.log)
        for other in self.service.databases:
            if other is not self and other.up:
                loop.call_later(BETWEEN_S, other.receive, self, self.service.term, length)

    def receive(self, primary, term, length):
        if not self.up or self.deaf or self.paused or self.service.primary is not primary or self.service.term != term:
            return
        self.follow()
        if len(self.log) < length:
            self.log.extend(primary.log[len(self.log):length])
            self.pending.append((time.monotonic() + LAG_S, length))
        if primary.up:
            asyncio.get_running_loop().call_later(BETWEEN_S, primary.received, len(self.log))

    def received(self, length):
        for entry in list(self.waiting):
            if entry[0] <= length:
                self.waiting.remove(entry)
                if not entry[1].done():
                    entry[1].set_result(True)

    def follow(self):
        """Takes the log of the present term, without what only the former primary had."""
        if self.term == self.service.term:
            return
        leading = self.service.primary.log
        length = min(len(self.log), len(leading))
        while length and self.log[length - 1] is not leading[length - 1]:
            length -= 1
        del self.log[length:]
        self.applied = min(self.applied_now(), length)
        self.pending = [(time.monotonic() + LAG_S, length)]
        self.term, self.role = self.service.term, "replica"

    # Heartbeats

    async def _beat(self):
        target = 0
        while True:
            self.sequence += 1
            self.beat_attempt_at = time.monotonic()
            body = {"service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1", "slots": 3, "state": "draining" if self.draining else "ready",
                    "warmup_left_ms": 0, "db_role": self.role, "seq": self.sequence, "born": self.born}
            self.beat_now.clear()
            if self.cut_from_control:
                await asyncio.sleep(CALL_LIMIT_S)
                status = 0
            else:
                status, _ = await http(self.deployment.members[target], "POST", f"/waxwingtrestle/instances/{self.id}/heartbeat", body)
            if status != 200:
                target = (target + 1) % len(self.deployment.members)
                await asyncio.sleep(0.02)
                continue
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_MS / 1000)
            except TimeoutError:
                pass

    # The wire

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            while line := await reader.readline():
                kind, _, rest = line.decode("latin-1").removesuffix("\r\n").partition(" ")
                if kind == "TERMINATE":
                    break
                if kind == "STARTUP":
                    connection.caller = rest.split(" ")[1]
                if self.cut_from_control and self.deployment.is_control(connection.caller):
                    await reader.read()  # a connection that was begun behind the cut is never answered
                    break
                answer = await (self._startup(rest) if kind == "STARTUP" else self._query(connection, rest))
                if answer is None or not self.up:
                    break
                writer.write(answer if isinstance(answer, bytes) else answer.encode("latin-1"))
                if "READY" not in (answer[-64:].decode("latin-1") if isinstance(answer, bytes) else answer):
                    break
                await writer.drain()
        except (OSError, ValueError, IndexError, asyncio.CancelledError):
            pass  # the caller has closed, or the database has crashed; a transaction rolls back
        finally:
            self.connections.discard(connection)
            writer.close()

    def _place(self):
        return "%d.%d" % self.service.place(self.term, self.applied_now())

    def _ready(self, connection, text):
        return f"{text}\r\nREADY {connection.state} {self._place()}\r\n"

    def _error(self, connection, code):
        if connection.state == "T" and code != "BUSY":
            connection.state = "E"
        return self._ready(connection, f"ERROR {code} {self.id}")

    async def _startup(self, rest):
        words = rest.split(" ")
        if words[0] != self.service.name or len(words) > 2 and words[2] != self.id:
            return "ERROR WRONGNODE -\r\n"
        if len(self.connections) > self.service.max_conns:
            return "ERROR TOOMANY -\r\n"
        await asyncio.sleep(0.012)
        return f"READY I {self._place()}\r\n"

    async def _query(self, connection, rest):
        identifier, _, text = rest.partition(" ")
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            term, number = map(int, required.split("."))
            verb, _, rest = text.partition(" ")
            if self.service.place(self.term, self.applied_now()) < (term, number):
                return self._error(connection, "LAGGING")
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            async with self.slots:
                await asyncio.sleep(WORK_S)
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            return self._command(connection, verb, rest)
        if connection.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return self._error(connection, "MALFORMED")
        if connection.state == "T" and connection.plain and (self.role != "primary" or connection.term != self.term) and verb != "ROLLBACK" and (
                verb != "COMMIT" or connection.writes):
            return self._error(connection, "READONLY")
        if verb == "BEGIN":
            if not rest and self.role != "primary":
                return self._error(connection, "READONLY")
            connection.end()
            connection.state, connection.plain, connection.term = "T", not rest, self.term
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
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return self._error(connection, "NOSTMT")
            verb = connection.prepared[name][0]
        return await self._statement(connection, identifier, verb, rest)

    def _command(self, connection, verb, rest):
        if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
            self.paused = int(rest)
        elif verb == "STEPDOWN" and self.role == "primary" and self.term < int(rest):
            self.role = "replica"
            self.beat_now.set()
        elif verb == "RESUME":
            self.paused = 0
        place = "%d.%d" % self.service.place(self.term, len(self.log))
        lag = 0 if self.applied_now() == len(self.log) else int(LAG_S * 1000)
        if verb != "STATUS" or self.service.primary is None or not self.service.primary.up:
            self.record.write(f"{verb} {rest} at {self.id}, from {connection.caller}: {self.role}, term {self.term}, received {place}")
        return self._ready(connection, f"DATAROW {self.role} {self.term} {place} {self.paused} {lag} 0 {len(self.connections)}\r\nCOMPLETE -")

    async def _statement(self, connection, identifier, verb, rest):
        signature = f"COMPLETE {self.id}.{identifier}"
        if verb == "READ":
            if rest in self.large:
                rows, size = self.large[rest]
                row = b"DATAROW " + b"x" * size + b"\r\n"
                return row * rows + self._ready(connection, signature).encode("latin-1")
            value = next((data for item, data, _ in reversed(self.log[:self.applied_now()]) if item == rest), "-")
            return self._ready(connection, f"DATAROW {value}\r\n{signature}")
        if verb == "WRITE":
            if self.role != "primary" or connection.state == "T" and not connection.plain:
                return self._error(connection, "READONLY")
            item, _, data = rest.partition(" ")
            connection.writes.append((item, data, identifier))
            if connection.state == "T":
                return self._ready(connection, signature)
        elif verb != "COMMIT":
            return self._error(connection, "MALFORMED")
        writes = connection.writes
        connection.end()
        if writes:
            self.log.extend(writes)
            future = asyncio.get_running_loop().create_future()
            if self.service.sync:
                self.waiting.append((len(self.log), future))
                self._ship()
                await future
            self.record.write(f"committed at {self.id} as {self._place()}: {' '.join(data for _, data, _ in writes)}")
        return self._ready(connection, signature)


class Platform:
    """The platform's API: POST /promote with fencing."""

    def __init__(self, deployment):
        self.deployment, self.server = deployment, None
        self.on_promotion = lambda database: None  # called when a database begins to lead

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        try:
            method, path, _ = (await reader.readline()).decode().split(" ")
            headers = {}
            while (line := (await reader.readline()).decode().strip()) != "":
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
            status = self._promote(body, headers) if (method, path) == ("POST", "/promote") else 404
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{{}}".encode())
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _promote(self, body, headers):
        service, token = self.deployment.services[body["service"]], int(headers["fencing-token"])
        database = next((one for one in service.databases if one.id == body["id"]), None)
        accepted = token >= service.token and database is not None and database.up
        self.deployment.record.say(f"promote {body['id']} of {body['service']} by {headers['lease-holder']} with {token}: {'accepted' if accepted else 409}")
        if not accepted:
            return 409
        service.token = token
        if service.primary is not database or database.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, service, database)
        return 200

    def _lead(self, service, database):
        if not database.up:
            return
        service.term += 1
        service.starts[service.term] = len(database.log)
        former, service.primary = service.primary, database
        database.role, database.term, database.paused = "primary", service.term, 0
        if former is not database:
            former.role = "replica"
        for other in service.databases:
            if other is not database and other.up:
                other.paused = 0
                other.beat_now.set()
        database.beat_now.set()
        self.deployment.record.say(f"{database.id} leads term {service.term} of {service.name} with {len(database.log)} entries")
        self.on_promotion(database)


# Clients

class Session:
    """One connection of a client to a proxy."""

    def __init__(self, deployment, proxy, host):
        self.deployment, self.proxy, self.host = deployment, proxy, host
        self.reader = self.writer = None

    async def open(self, limit=2.0):
        address = self.deployment.frontend(self.proxy)
        try:
            async with asyncio.timeout(limit):
                host, port = address.rsplit(":", 1)
                self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
                self.writer.write(f"STARTUP {self.host} client\r\n".encode())
                line = await self.reader.readline()
        except (OSError, TimeoutError, ValueError):
            line = b""
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    async def query(self, text, limit=10.0, identifier=None):
        """Sends a statement; returns (word, detail, rows): COMPLETE signature, ERROR code, or LOST."""
        identifier = identifier or "%016x" % random.getrandbits(64)
        rows = []
        try:
            async with asyncio.timeout(limit):
                self.writer.write(f"QUERY {identifier} {text}\r\n".encode())
                result = None
                while True:
                    line = (await self.reader.readline()).decode("latin-1")
                    word, _, rest = line.removesuffix("\r\n").partition(" ")
                    if not line.endswith("\r\n"):
                        break
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "READY":
                        return (*result, rows)
                    else:
                        result = (word, rest)
        except (OSError, TimeoutError, ValueError, AttributeError, TypeError):
            pass
        self.close()
        return "LOST", "-", rows

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# The deployment

class Deployment:
    def __init__(self, record, proxies=3, services=("orders",), max_conns=21, control_memory_mb=256, proxy_memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        system = random.SystemRandom()
        self.net = f"127.{system.randint(16, 250)}.{system.randint(1, 250)}"
        self.ports = dict(zip(("admin", "frontend", "ready", "link", "metrics", "platform", "database"), self._free_ports(7)))
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        zones = list(ZONES)
        self.members = [f"{self.net}.{n + 1}:{self.ports['admin']}" for n in range(3)]
        self.control = [self._process("control", f"core-{zones[n]}-1", zones[n], f"{self.net}.{n + 1}", control_memory_mb, n) for n in range(3)]
        self.proxies = [self._process("proxy", f"proxy-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3], f"{self.net}.{n + 20}", proxy_memory_mb, n)
                        for n in range(proxies)]
        self.max_conns = max_conns
        self.services, self.version, self.added = {}, 0, 0
        for number, name in enumerate(services):
            service = self.services[name] = Service(name, max_conns=max_conns)
            for n, zone in enumerate(zones):
                address = f"{self.net}.{100 + number * 3 + n}:{self.ports['database']}"
                service.databases.append(Database(self, f"i-{number + 1}{n + 1}{system.getrandbits(32):08x}", service, zone, address))
            service.primary = service.databases[0]
            service.primary.role = "primary"
        self.platform = Platform(self)
        self.routes = [{"name": f"r-{name}-{kind}", "host": f"{name}-{kind}", "path_prefix": "/", "kind": route, "timeout_ms": timeout, "target_latency_ms": target,
                        "priority": priority, "service": name, "max_attempts": 2, **({"max_staleness_ms": stale} if stale else {})}
                       for name in services
                       for kind, route, timeout, target, priority, stale in (("own", "read_your_writes", 1000, 1000, 2, 2500), ("primary", "primary", 1000, 600, 1, 0),
                                                                             ("bounded", "bounded_staleness", 2000, 1200, 2, 1500))]

    @staticmethod
    def _free_ports(count):
        found = []
        while len(found) < count:
            port = random.SystemRandom().randint(12000, 32000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in found:
                found.append(port)
        return found

    def _process(self, role, name, zone, ip, memory_mb, number):
        data = os.path.join(self.folder, "data-" + name)
        fields = {
            "node_name": name, "role": role, "machine_class": "proxy" if role == "proxy" else "core", "serves": self.roles[role]["serves"], "ip": ip, "zone": zone,
            "region": ZONES[zone], "internal_ports": [self.ports["link"], self.ports["metrics"]], "seeds": self.members, "bootstrap": True,
            "counts_as_loss": role == "control", "discovery": "registry", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS, "zones": ZONES,
            "listen": {"admin": f"{ip}:{self.ports['admin']}"} if role == "control" else {"frontend": f"{ip}:{self.ports['frontend']}",
                                                                                         "readiness": f"{ip}:{self.ports['ready']}"},
            "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": memory_mb, "max_fds": 4300, "bandwidth_mbps": 1000.0, "disk_mb": 128 if role == "control" else 0},
            "fault_tolerance": {"machines": 1, "zones": 0, "region_count": 0},
            "bounds": {"drain_ms": 7000, "grace_s": 6, "contact_ms": 5000, "config_apply_ms": 4000, "recovery_s": 12, "fencing": True},
            "cloud_api": {"address": f"{self.net}.250:{self.ports['platform']}", "rate_per_s": 50.0, "duties": ["failover"], "duty_per_s": 50.0},
        }
        if role == "control":
            os.makedirs(data)
            fields["data_dir"] = data
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        process = Process(name, self.roles[role]["run"].split(" "), settings, self.folder)
        process.ip, process.number, process.data, process.memory_mb = ip, number, data, memory_mb
        return process

    def is_control(self, caller):
        return any(process.name == caller for process in self.control)

    def frontend(self, proxy):
        return f"{self.proxies[proxy].ip}:{self.ports['frontend']}"

    def databases(self):
        return [database for service in self.services.values() for database in service.databases]

    def document(self, extra=()):
        return {"version": self.version, "routes": [*self.routes, *extra],
                "services": [{"name": name, "health_path": "/health", "max_conns": self.max_conns, "protocol": "h1", "tls": False, "sync_replicas": 1}
                             for name in self.services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}}

    async def put(self, extra=(), limit=5.0, until_s=30.0):
        """The operator sends a configuration until it is acknowledged."""
        self.version += random.randint(1, 5)
        body = json.dumps(self.document(extra)).encode()
        deadline, target = time.monotonic() + until_s, random.randrange(len(self.members))
        while time.monotonic() < deadline:
            status, _ = await http(self.members[target], "POST", "/waxwingtrestle/config/put", body, limit=limit)
            if status == 200:
                return True
            target = (target + 1) % len(self.members)
            await asyncio.sleep(0.05)
        return False

    def add_database(self, service, zone):
        """A new database of a service, which starts empty."""
        self.added += 1
        address = f"{self.net}.{150 + self.added}:{self.ports['database']}"
        database = Database(self, f"i-9{self.added}{random.getrandbits(32):08x}", service, zone, address)
        service.databases.append(database)
        return database

    async def start(self):
        await self.platform.start(f"{self.net}.250", self.ports["platform"])
        for process in self.control + self.proxies:
            process.start()
        for database in self.databases():
            await database.start()
        if not await self.put():
            raise RuntimeError("the first configuration was not acknowledged")
        self.record.say("the first configuration is acknowledged")

    async def until_served(self, host, limit=20.0):
        """Waits until each proxy has answered a write."""
        deadline = time.monotonic() + limit
        for number in range(len(self.proxies)):
            while True:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{self.proxies[number].name} serves nothing")
                session = Session(self, number, host)
                if await session.open() and (await session.query("WRITE start w0"))[0] == "COMPLETE":
                    session.close()
                    break
                session.close()
                await asyncio.sleep(0.1)
        self.record.say("all proxies serve")

    def end(self, keep=False):
        for process in self.control + self.proxies:
            process.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(main, path):
    """Runs a case; returns its exit code: 1 the rule was broken, 0 it held, 2 the case could not run."""
    record = Record(os.path.join(path, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("with the disruption" if trouble else "without the disruption")
    for role in ("proxy/waxwing-proxy", "control/waxwing-control"):
        if not os.access(os.path.join(ROOT, "target/programs", role), os.X_OK):
            record.say(f"target/programs/{role} is missing: run the build of the deploy file first")
            return 2
    deployments = []

    def deployment(**options):
        deployments.append(Deployment(record, **options))
        return deployments[-1]

    async def limited():
        try:
            async with asyncio.timeout(115):
                return await main(record, trouble, deployment)
        finally:
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    try:
        broken = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:  # the processes must end in any case
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        for one in deployments:
            one.end(keep=os.environ.get("KEEP") == "1")
    record.say("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
