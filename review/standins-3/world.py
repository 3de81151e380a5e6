"""Stand-ins of the third review: databases, platform, operator, clients, and the processes under test, all on loopback.

The programs are those of the deploy file, built into target/, each a process of its own. Databases, the platform and the clients
run in this Python process and do what PROTOCOL.md says; where it is silent, they behave like sound ones.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("caxias", "joinville", "curitiba")
REGIONS = ("rs", "sc", "pr")
HEARTBEAT_S, CALL_LIMIT_S = 1.2, 1.0
APPLY_S, PROMOTE_S, HANDSHAKE_S, STATEMENT_S, SLOT_WAIT_S = 0.06, 0.3, 0.012, 0.005, 0.05
SLOTS, MAX_CONNS, MEMORY_MB = 3, 21, 260
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


async def http(address, method, path, body=None, headers=(), limit=CALL_LIMIT_S, redirects=2):
    """One HTTP request; returns (status, body), with status 0 without an answer. A 307 is followed twice."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json", f"Content-Length: {len(data)}", "Connection: close"]
            writer.write("\r\n".join([*lines, *headers, "", ""]).encode() + data)
            status, found = int((await reader.readline()).split()[1]), {}
            while line := (await reader.readline()).decode("latin-1").strip():
                name, _, value = line.partition(":")
                found[name.lower()] = value.strip()
            content = await reader.readexactly(int(found.get("content-length", 0)))
    except (OSError, ValueError, IndexError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()
    if status == 307 and redirects:
        target = found.get("location", "").split("//", 1)[-1]
        return await http(target.split("/", 1)[0], method, "/" + target.split("/", 1)[-1], body, headers, limit, redirects - 1)
    return status, content


class Service:
    """The databases of one service and their log. A log is a list of commits; the platform knows who leads."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.databases, self.primary, self.term, self.starts = [], None, 1, {1: 0}
        self.token, self.on_promote = 0, lambda database: None

    def position(self, term, length):
        """TERM.NUMBER of a log of this length whose database knows this term."""
        return max((t, length) for t, start in self.starts.items() if t <= term and start <= length)

    def deliver(self):
        leader = self.primary
        if not leader or not leader.running or leader.role != "primary":
            return
        for database in self.databases:
            if database is leader or not database.running or database.paused or database.deaf or database.term != self.term:
                continue
            if len(database.log) < len(leader.log):
                database.log.extend(leader.log[len(database.log):])
                database.pending.append((time.monotonic() + APPLY_S, len(database.log)))

    def promote(self, database, token):
        """Carries out an order; its fence is checked now."""
        if token < self.token or not database.running or database is self.primary and database.role == "primary":
            return
        former, self.primary = self.primary, database
        self.term += 1
        self.starts[self.term] = len(database.log)
        database.role, database.term, database.paused, database.applied = "primary", self.term, 0, len(database.log)
        self.world.note(f"platform: {database.id} leads {self.name} in term {self.term} with {len(database.log)} commits, token {token}")
        self.on_promote(database)
        for other in self.databases:
            if other is not database:
                other.role, other.paused, other.term = "replica", 0, self.term
                if other.running:
                    other.follow(database)
                other.beat_now.set()
        if former and former is not database:
            former.role = "replica"
        database.beat_now.set()


class Connection:
    def __init__(self, writer):
        self.writer, self.state, self.plain, self.term, self.writes = writer, "I", False, 0, []
        self.values, self.prepared, self.service, self.caller = {}, {}, None, ""


class Database:
    def __init__(self, world, service, name, address, zone):
        self.world, self.service, self.id, self.address, self.zone = world, service, name, address, zone
        self.role, self.term, self.paused, self.deaf, self.state = "replica", 1, 0, False, "ready"
        self.log, self.applied, self.pending, self.rows = [], 0, [], {}
        self.running, self.connections, self.slots = False, set(), asyncio.Semaphore(SLOTS)
        self.beat_now, self.sequence, self.born, self.tasks, self.server = asyncio.Event(), 0, 0, [], None
        self.cut = False  # partitioned from control, not from the proxies and the other databases

    def applied_now(self):
        if self.role == "primary":
            self.applied, self.pending = len(self.log), []
        while self.pending and self.pending[0][0] <= time.monotonic():
            self.applied = max(self.applied, min(self.pending.pop(0)[1], len(self.log)))
        return self.applied

    def follow(self, leader):
        """Rolls back what the new primary lacks."""
        same = 0
        while same < min(len(self.log), len(leader.log)) and self.log[same] is leader.log[same]:
            same += 1
        del self.log[same:]
        self.applied, self.pending = min(self.applied, same), [(time.monotonic() + APPLY_S, same)]

    def forget(self):
        """What a database that starts again under its id holds: nothing. It sees itself as a replica."""
        self.log, self.applied, self.pending, self.role = [], 0, [], "replica"
        if self.service.primary is self:
            self.service.primary = None

    async def start(self):
        self.running, self.sequence, self.born, self.paused = True, 0, int(time.time() * 1000), 0
        if self.service.primary is not self:
            self.role = "replica"
            if self.service.primary:
                self.term = self.service.term
                self.follow(self.service.primary)
        if self.server is None or not self.server.is_serving():
            host, port = self.address.rsplit(":", 1)
            self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 21, backlog=500)
        self.tasks = [asyncio.create_task(self._beat())]

    async def stop(self):
        """A crash: connections break, nothing is said. Behind a cut, control sees no reset, so that the port is not closed then."""
        self.running = False
        if not self.cut:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            if not (self.cut and connection.caller.startswith("control-")):
                connection.writer.transport.abort()

    async def _say(self, verb, body, limit):
        """Says something to one node after the other until one acknowledges it."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for admin in self.world.admins:
                status, _ = await http(admin, "POST", f"/waxwingtrestle/instances/{self.id}/{verb}", body)
                if 200 <= status < 300:
                    return True
            await asyncio.sleep(0.1)
        return False

    def _beat_body(self):
        self.sequence += 1
        return {"service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1", "slots": SLOTS, "state": self.state,
                "warmup_left_ms": 0, "db_role": self.role, "seq": self.sequence, "born": self.born}

    async def say_draining(self):
        self.state = "draining"
        done = await self._say("heartbeat", self._beat_body(), 5)
        self.world.note(f"{self.id} says that it is draining; acknowledged: {done}")
        return done

    async def deregister(self):
        done = await self._say("deregister", {"born": self.born}, 5)
        self.world.note(f"{self.id} deregisters and exits; acknowledged: {done}")
        await self.stop()
        self.service.databases.remove(self)
        return done

    async def _beat(self):
        target = random.randrange(len(self.world.admins))
        while True:
            self.beat_now.clear()
            body = self._beat_body()
            if self.cut:
                await asyncio.sleep(CALL_LIMIT_S)  # what it says does not arrive
                status = 0
            else:
                status, _ = await http(self.world.admins[target % len(self.world.admins)], "POST", f"/waxwingtrestle/instances/{self.id}/heartbeat", body)
            if not 200 <= status < 300:
                target = (target + 1) % len(self.world.admins)
                await asyncio.sleep(0.1)
                continue
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_S)
            except TimeoutError:
                pass

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            while line := await reader.readline():
                kind, _, rest = line.decode("latin-1").removesuffix("\r\n").partition(" ")
                if kind == "TERMINATE":
                    break
                if kind == "STARTUP":
                    connection.caller = rest.split(" ")[1] if " " in rest else ""
                if connection.caller.startswith("control-") and self.cut:
                    while self.cut:
                        await asyncio.sleep(0.02)
                    break  # what was sent during the partition is lost
                if not self.running:
                    writer.transport.abort()  # as a port without a listener does
                    break
                answer = await (self._start(connection, rest) if kind == "STARTUP" else self._query(connection, rest))
                if answer is None or not self.running:
                    break
                for part in answer if isinstance(answer, list) else [answer]:
                    writer.write(part if isinstance(part, bytes) else part.encode("latin-1"))
                    await writer.drain()
                if connection.service is None:
                    break
        except (OSError, ValueError, asyncio.CancelledError):
            pass  # The other end closed; an open transaction rolls back.
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _start(self, connection, rest):
        words = rest.split(" ")
        if words[0] != self.service.name or len(words) > 2 and words[2] != self.id:
            return "ERROR WRONGNODE -\r\n"
        if len(self.connections) > MAX_CONNS:
            return "ERROR TOOMANY -\r\n"
        async with self.slots:
            await asyncio.sleep(HANDSHAKE_S)
        connection.service = words[0]
        return self._ready(connection)

    def _ready(self, connection, text=""):
        term, number = self.service.position(self.term, self.applied_now())
        return f"{text}READY {connection.state} {term}.{number}\r\n"

    def _error(self, connection, code):
        if connection.state == "T" and code != "BUSY":
            connection.state = "E"
        return self._ready(connection, f"ERROR {code} {self.id}\r\n")

    def _done(self, connection, rows=()):
        return self._ready(connection, "".join(f"DATAROW {row}\r\n" for row in rows) + "COMPLETE -\r\n")

    async def _query(self, connection, rest):
        identifier, _, text = rest.partition(" ")
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            if self.service.position(self.term, self.applied_now()) < tuple(int(part) for part in required.split(".")):
                return self._error(connection, "LAGGING")
            verb, _, rest = text.partition(" ")
        if connection.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return self._error(connection, "MALFORMED")
        lost = connection.state == "T" and connection.plain and (self.role != "primary" or self.term != connection.term)
        if lost and not (verb == "COMMIT" and not connection.writes) and verb != "ROLLBACK":
            return self._error(connection, "READONLY")
        if verb == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return self._error(connection, "READONLY")
            connection.state, connection.plain, connection.term, connection.writes = "T", rest != "READ", self.term, []
            return self._done(connection)
        if verb == "ROLLBACK" or verb == "COMMIT" and connection.state == "E":
            connection.state, connection.writes = "I", []
            return self._done(connection) if verb == "ROLLBACK" else self._error(connection, "ABORTED")
        if verb == "DISCARD":
            connection.values, connection.prepared = {}, {}
            return self._done(connection)
        if verb == "SET":
            name, _, connection.values[name] = rest.partition(" ")
            return self._done(connection)
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            connection.prepared[name] = (access, shape)
            return self._done(connection)
        if verb == "DEALLOCATE":
            return self._done(connection) if connection.prepared.pop(rest, None) else self._error(connection, "NOSTMT")
        try:
            await asyncio.wait_for(self.slots.acquire(), SLOT_WAIT_S)
        except TimeoutError:
            return self._error(connection, "BUSY")
        try:
            await asyncio.sleep(STATEMENT_S)
            return await self._run(connection, identifier, verb, rest)
        finally:
            self.slots.release()

    async def _run(self, connection, identifier, verb, rest):
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
                self.paused = int(rest)
            elif verb == "STEPDOWN" and self.role == "primary" and self.term < int(rest):
                self.role = "replica"
                self.beat_now.set()
            elif verb == "RESUME":
                self.paused = 0
            term, number = self.service.position(self.term, len(self.log))
            lag = 0 if self.applied_now() == len(self.log) else int(APPLY_S * 1000)
            return self._done(connection, [f"{self.role} {self.term} {term}.{number} {self.paused} {lag} 0 {len(self.connections)}"])
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return self._error(connection, "NOSTMT")
            verb = connection.prepared[name][0]
        item, _, data = rest.partition(" ")
        signature = f"COMPLETE {self.id}.{identifier}\r\n"
        if verb == "READ":
            self.world.runs[identifier] = (self.id, self.applied_now())
            self.world.record(f"{self.id} runs {identifier} READ {item} on {self.applied_now()} commits")
            if item in self.rows:
                return [*self.rows[item], self._ready(connection, signature)]
            value = next((content[1] for writes in reversed(self.log[:self.applied_now()]) for content in reversed(writes) if content[0] == item), "-")
            return self._ready(connection, f"DATAROW {value}\r\n{signature}")
        if verb == "WRITE":
            if self.role != "primary" or connection.state == "T" and not connection.plain:
                return self._error(connection, "READONLY")
            self.world.record(f"{self.id} runs {identifier} WRITE {item} {data}")
            connection.writes.append((item, data))
            if connection.state == "T":
                return self._ready(connection, signature)
        writes, connection.writes, connection.state = connection.writes, [], "I"
        if writes and not await self._commit(writes):
            return None
        return self._ready(connection, signature)

    async def _commit(self, writes):
        """Adds a commit and waits until a replica has received it; False while that stays unknown."""
        term = self.term
        self.log.append(writes)
        number = len(self.log)
        while self.running and self.role == "primary" and self.term == term:
            if any(other.running and other.term == term and len(other.log) >= number for other in self.service.databases if other is not self):
                return True
            await asyncio.sleep(0.002)
        return False


class Platform:
    """Takes the orders to promote, with fencing."""

    def __init__(self, world):
        self.world = world

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            while request := await reader.readline():
                headers = {}
                while line := (await reader.readline()).decode().strip():
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or "{}")
                status = self._order(headers, body) if request.startswith(b"POST /promote") else 404
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller went away.
        finally:
            writer.close()

    def _order(self, headers, body):
        service = self.world.services[body["service"]]
        token = int(headers["fencing-token"])
        database = next((one for one in service.databases if one.id == body["id"]), None)
        status = 409 if token < service.token or database is None or not database.running else 200
        service.token = max(service.token, token)
        self.world.note(f"platform: {headers['lease-holder']} orders {body['id']} for {service.name} with token {token}: {status}")
        if status == 200:
            asyncio.get_running_loop().call_later(PROMOTE_S, service.promote, database, token)
        return status


class Promotions:
    """Compares the log of each database that is promoted with the commits that were acknowledged before."""

    def __init__(self, world, service):
        self.world, self.acknowledged, self.found = world, [], []
        service.on_promote = self.check

    def check(self, database):
        held = {content for writes in database.log for content in writes}
        for content in self.acknowledged:
            if content not in held:
                self.found.append(content)
                self.world.note(f"LOST: {' '.join(content)} was acknowledged and isn't in the log of {database.id}, which is promoted")


class Client:
    """A session; an answer is (kind, rest, state, rows), with kind CLOSED if the connection ended before its end."""

    def __init__(self, world, address, database, name):
        self.world, self.address, self.database, self.name, self.reader, self.writer, self.number = world, address, database, name, None, None, 0

    async def open(self, limit=2.0):
        try:
            async with asyncio.timeout(limit):
                host, port = self.address.rsplit(":", 1)
                self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 21)
                kind, rest, state, _ = await self._call(f"STARTUP {self.database} {self.name}")
        except (OSError, TimeoutError) as error:
            kind, rest, state = "CLOSED", type(error).__name__, "-"
        if state != "I":
            self.close()
        return state == "I", f"{kind} {rest}"

    async def ask(self, text, limit):
        """Sends a statement; returns (answer, id)."""
        self.number += 1
        identifier = f"{self.name}.{self.number}"
        self.world.record(f"{self.name} asks {identifier} {text[:60]}")
        try:
            async with asyncio.timeout(limit):
                answer = await self._call(f"QUERY {identifier} {text}")
        except (OSError, TimeoutError) as error:
            answer = ("CLOSED", type(error).__name__, "-", [])
        self.world.record(f"{self.name} is told {identifier} {answer[0]} {answer[1][:90]} {answer[2]} rows {len(answer[3])} bytes {sum(answer[3])}")
        if answer[0] == "CLOSED":
            self.close()
        return answer, identifier

    async def _call(self, line):
        self.writer.write(line.encode("latin-1") + b"\r\n")
        kind, rest, rows = "", "", []
        while data := await self.reader.readline():
            word, _, text = data.decode("latin-1").removesuffix("\r\n").partition(" ")
            if word == "READY":
                return kind or "READY", rest, text.split(" ")[0], rows
            if word == "DATAROW":
                rows.append(len(text))
            else:
                kind, rest = word, text
        return "CLOSED", f"{kind} {rest}".strip(), "-", rows

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None


class Process:
    def __init__(self, world, name, arguments, settings):
        self.world, self.name, self.process, self.ends = world, name, None, []
        self.path = os.path.join(world.folder, name + ".toml")
        self.log = os.path.join(world.folder, name + ".log")
        with open(self.path, "w", encoding="ascii") as file:
            file.write(settings)
        self.arguments = [*arguments, "--settings", self.path]

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.arguments, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.world.note(f"{self.name} starts")

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.runs():
            self.process.send_signal(number)
            self.world.note(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        if self.runs():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS:")), 0.0)
        except OSError:
            return 0.0


class World:
    def __init__(self, folder, controls=3, proxies=3, services=("pedidos",), databases=3):
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii", errors="replace")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        number = random.SystemRandom()
        self.net = f"127.{number.randint(1, 254)}.{number.randint(0, 255)}"
        self.admin, self.link, self.front, self.ready, self.metrics, self.cloud, self.base = (self._port() for _ in range(7))
        self.admins = [f"{self.net}.{n + 1}:{self.admin}" for n in range(controls)]
        self.controls = [self._control(n) for n in range(controls)]
        self.proxies = [self._proxy(n) for n in range(proxies)]
        self.services, self.version, self.runs = {}, 0, {}  # runs: by id of a read, its database and the commits that it had applied
        for index, name in enumerate(services):
            service = self.services[name] = Service(self, name)
            for n in range(databases):
                self.add_database(service, f"i-{index + 1}{n + 1}", f"{self.net}.{150 + index * 10 + n}", ZONES[n % 3])
            service.primary = service.databases[0]
            service.primary.role = "primary"
        self.platform = Platform(self)
        self.tasks = []

    def add_database(self, service, name, host, zone):
        database = Database(self, service, name, f"{host}:{self.base}", zone)
        service.databases.append(database)
        return database

    def _port(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        # Outside the range for outgoing connections, so that a process that starts again finds its port free.
        return random.SystemRandom().randint(12000, 31000) if port > 32000 else port

    def _control(self, n, first=True):
        data = os.path.join(self.folder, f"data-{n + 1}")
        os.makedirs(data)
        settings = f"""[control]
name = "control-{n + 1}"
failure_domain = "{ZONES[n % 3]}"
http = "{self.net}.{n + 1}:{self.admin}"
link = "{self.net}.{n + 1}:{self.link}"
metrics = "{self.net}.{n + 1}:{self.metrics}"
data = "{data}"
seeds = {json.dumps(self.admins[:3])}
may_form = {json.dumps(first)}
platform = "{self.net}.250:{self.cloud}"
heartbeat_ms = {int(HEARTBEAT_S * 1000)}
losses_to_bear = 1
orders_are_fenced = true

[limits]
memory_mb = 256
"""
        process = Process(self, f"control-{n + 1}", ["target/programs/control/waxwing-control", "serve-sessions"], settings)
        process.data, process.admin = data, f"{self.net}.{n + 1}:{self.admin}"
        return process

    def add_control(self):
        """A machine that is added later, with an empty disk; the seeds in its settings are those of the others."""
        process = self._control(len(self.controls), first=False)
        self.controls.append(process)
        self.admins = [*self.admins, process.admin]
        return process

    def wipe(self, process):
        """The machine of a control process loses its disk and starts again at its address, with bootstrap false."""
        process.kill()
        shutil.rmtree(process.data)
        os.makedirs(process.data)
        with open(process.path, encoding="ascii") as file:
            text = file.read()
        with open(process.path, "w", encoding="ascii") as file:
            file.write(text.replace("may_form = true", "may_form = false"))
        self.note(f"{process.name} lost its disk")
        process.start()

    async def status(self, process):
        """What a member of control says of itself, for the record only."""
        code, body = await http(process.admin, "GET", "/v1/status")
        return json.loads(body) if code == 200 else {}

    def _proxy(self, n):
        host = f"{self.net}.{n + 20}"
        settings = f"""[sessions]
name = "proxy-{n + 1}"
failure_domain = "{ZONES[n % 3]}"
regions = {json.dumps([f"{zone}={region}" for zone, region in zip(ZONES, REGIONS)])}
listen = "{host}:{self.front}"
ready = "{host}:{self.ready}"
link = "{host}:{self.link}"
metrics = "{host}:{self.metrics}"
stop_limit_s = 6
drain_limit_ms = 7000
replaced_primary_stops = true

[limits]
files = 4300
memory_mb = {MEMORY_MB}

[control]
seeds = {json.dumps(self.admins[:3])}
link_port = {self.link}
"""
        process = Process(self, f"proxy-{n + 1}", ["target/programs/proxy/waxwing-proxy", "sessions"], settings)
        process.address, process.ready = f"{host}:{self.front}", f"{host}:{self.ready}"
        return process

    def record(self, text):
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.record_file)

    def note(self, text):
        self.record(text)
        print(f"{time.monotonic() - self.began:8.3f} {text}", flush=True)

    async def start_platform(self):
        await self.platform.start(f"{self.net}.250:{self.cloud}")
        self.tasks.append(asyncio.create_task(self._replicate()))

    async def _replicate(self):
        while True:
            for service in self.services.values():
                service.deliver()
            await asyncio.sleep(0.004)

    def document(self, timeout_ms=1000):
        self.version += 1
        routes = []
        for name in self.services:
            for kind, short, limit in (("primary", "p", timeout_ms), ("bounded_staleness", "b", 2 * timeout_ms), ("read_your_writes", "o", timeout_ms)):
                route = {"name": f"r-{short}-{name}", "host": f"{short}-{name}", "path_prefix": "/", "kind": kind, "timeout_ms": limit,
                         "target_latency_ms": 1200, "priority": 1, "service": name, "max_attempts": 2}
                routes.append(route if kind == "primary" else route | {"max_staleness_ms": 1500 if short == "b" else 2500})
        services = [{"name": name, "health_path": "/health", "max_conns": MAX_CONNS, "protocol": "h1", "tls": False, "sync_replicas": 1}
                    for name in self.services]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}
        return {"version": self.version, "routes": routes, "services": services, "limits": limits}

    async def configure(self, document, limit=30):
        """The operator: sends the same order to any node until it is acknowledged or refused."""
        end, n = time.monotonic() + limit, 0
        while time.monotonic() < end:
            status, _ = await http(self.admins[n % len(self.admins)], "POST", "/waxwingtrestle/config/put", document)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.note(f"operator: version {document['version']} is answered with {status}")
                return status
            n += 1
            await asyncio.sleep(0.1)
        return 0

    async def is_ready(self, proxy):
        return (await http(proxy.ready, "GET", "/waxwingtrestle/ready"))[0] == 200

    async def until(self, text, condition, limit):
        """Waits for a condition; tells whether it came."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        self.note(f"not within {limit} s: {text}")
        return False

    async def serves(self, proxy, service="pedidos", kind="p", text="READ probe"):
        """One operation on a session of its own; tells whether it succeeds."""
        client = Client(self, proxy.address, f"{kind}-{service}", f"probe{random.getrandbits(40):x}")
        opened, _ = await client.open()
        if not opened:
            return False
        answer, _ = await client.ask(text, 3)
        client.close()
        return answer[0] == "COMPLETE"

    async def start(self):
        """Starts everything as at the first start of a deployment; tells whether each proxy serves."""
        await self.start_platform()
        for process in self.controls + self.proxies:
            process.start()
        for service in self.services.values():
            for database in service.databases:
                await database.start()
        if await self.configure(self.document()) != 200:
            return False
        async def all_serve():
            results = [await self.is_ready(proxy) and await self.serves(proxy, name) for proxy in self.proxies for name in self.services]
            return all(results)
        return await self.until("every proxy serves", all_serve, 30)

    def end(self):
        for process in self.controls + self.proxies:
            process.kill()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def run(world, case, limit=110):
    """Runs a case, a coroutine that returns HELD, BROKEN or CANNOT_RUN; ends the script with it."""
    async def bounded():
        try:
            async with asyncio.timeout(limit):
                return await case(world)
        except TimeoutError:
            world.note("the case took too long")
            return CANNOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    code = CANNOT_RUN
    try:
        code = asyncio.run(bounded())
    finally:
        world.note(f"result {code}: {('the rule held', 'the rule was broken', 'the case could not run')[code]}")
        world.end()
    sys.exit(code)
