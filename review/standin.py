"""Stand-ins for the databases, the platform, the operator and the clients, and the processes of a small deployment on loopback.

They follow PROTOCOL.md. Only what a script asks for goes wrong: a kill, a stop, a database that receives nothing for a while.
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTROL = os.path.join(ROOT, "target/programs/control/waxwing-control")
PROXY = os.path.join(ROOT, "target/programs/proxy/waxwing-proxy")
ZONES = ("caxias", "joinville", "curitiba")
REGIONS = {"caxias": "rs", "joinville": "sc", "curitiba": "pr"}
HEARTBEAT_S = 1.2
LAG_S = 0.06  # from receipt to application at a replica
PROMOTE_S = 1.0
LINK_S = 0.02  # one way from a database to another one in the next region
HANDSHAKE_S = 0.012
SLOTS = 3
QUEUE = 24
DRAIN_S = 7.0
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be brought about; exit code 2."""


class Record:
    """Lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, *words):
        self.file.write(f"{time.monotonic() - STARTED:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class Database:
    def __init__(self, service, number, address, zone):
        self.service, self.address, self.zone = service, address, zone
        self.id = f"i-{service.name}{number}"
        self.role, self.term, self.paused = "replica", 1, 0
        self.log = []  # commits: (id of the statement that committed, writes, time)
        self.pending = []  # (time, length): what is applied when
        self.applied = 0
        self.running = self.deaf = False
        self.state = "ready"
        self.sequence = self.born = 0
        self.connections = set()
        self.callers = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.server = self.beats = None
        self.cut_from = frozenset()  # callers that don't reach it; with a member of control among them, its heartbeats don't arrive either
        self.beat_now = asyncio.Event()
        self.acknowledged = asyncio.Event()  # the draining state has been acknowledged

    async def start(self):
        self.running, self.state, self.sequence, self.born = True, "ready", 0, int(time.time() * 1000)
        self.acknowledged.clear()
        if self.service.primary is not self:
            self.role = "replica"
            self.adopt()
        self.slots, self.waiting = asyncio.Semaphore(SLOTS), 0
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=200)
        self.beats = asyncio.create_task(self.beat())
        self.service.record.write("database", self.id, "started as", self.role, "position", self.position_text(len(self.log)))

    def stop(self):
        """It crashes or exits; its log stays with it."""
        self.running, self.paused = False, 0
        self.server.close()
        self.beats.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        self.service.record.write("database", self.id, "ended, position", self.position_text(len(self.log)))

    async def drain(self):
        """A planned shutdown: draining, then drain_ms after the acknowledgement the deregistration and the end."""
        self.state = "draining"
        self.beat_now.set()
        await self.acknowledged.wait()
        self.service.record.write("database", self.id, "draining acknowledged")
        await asyncio.sleep(DRAIN_S)
        for member in self.service.members:
            if await http(member, "POST", f"/waxwingtrestle/instances/{self.id}/deregister", {"born": self.born, "seq": self.sequence + 1}) == 200:
                break
        self.stop()

    async def beat(self):
        target = random.randrange(len(self.service.members))
        while True:
            while any(name.startswith("core") for name in self.cut_from):
                await asyncio.sleep(0.1)
            self.sequence += 1
            state = self.state
            body = {"service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1", "slots": SLOTS, "state": state,
                    "warmup_left_ms": 0, "db_role": self.role, "seq": self.sequence, "born": self.born}
            if await http(self.service.members[target], "POST", f"/waxwingtrestle/instances/{self.id}/heartbeat", body) != 200:
                target = (target + 1) % len(self.service.members)
                await asyncio.sleep(0.05)
                continue
            if state == "draining":
                self.acknowledged.set()
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_S)
            except TimeoutError:
                pass
            self.beat_now.clear()

    # The log

    def adopt(self):
        """Takes the present term, without what only a former primary had."""
        leader = self.service.primary
        if self.term == self.service.term or leader is self:
            return
        length = 0
        while length < min(len(self.log), self.service.starts[self.service.term]) and self.log[length] is leader.log[length]:
            length += 1
        del self.log[length:]
        self.applied, self.pending = min(self.applied, length), [(time.monotonic(), length)]
        self.term = self.service.term

    def applied_now(self):
        if self.role == "primary":
            self.applied = len(self.log)
        while self.pending and self.pending[0][0] <= time.monotonic():
            self.applied = max(self.applied, min(self.pending.pop(0)[1], len(self.log)))
        return self.applied

    def position(self, length):
        return max((term, length) for term, start in self.service.starts.items() if term <= self.term and start <= length)

    def position_text(self, length):
        return "{}.{}".format(*self.position(length))

    def read(self, item):
        value = f"initial-{item}"
        for _, writes, _ in self.log[:self.applied_now()]:
            value = writes.get(item, value)
        return value

    # The wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        caller = ""
        connection = {"state": "I", "plain": False, "writes": {}, "values": {}, "prepared": {}, "term": 0}
        try:
            while line := await reader.readline():
                kind, _, rest = line.decode().rstrip("\r\n").partition(" ")
                caller = rest.split(" ")[1] if kind == "STARTUP" else caller
                while caller in self.cut_from:
                    await asyncio.sleep(0.05)
                if kind == "STARTUP":
                    answer = await self.startup(rest)
                elif kind == "QUERY":
                    answer = await self.query(connection, rest)
                else:
                    break
                if answer is None or not self.running:
                    break
                writer.write(answer.encode())
                await writer.drain()
                if "READY" not in answer:
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def startup(self, rest):
        words = rest.split(" ")
        if words[0] != self.service.name or len(words) > 2 and words[2] != self.id:
            return "ERROR WRONGNODE -\r\n"
        if len(self.connections) > self.service.max_conns:
            return "ERROR TOOMANY -\r\n"
        self.callers.add(words[1])
        async with self.slots:
            await asyncio.sleep(HANDSHAKE_S)
        return f"READY I {self.position_text(self.applied_now())}\r\n"

    def ready(self, connection, text):
        return f"{text}\r\nREADY {connection['state']} {self.position_text(self.applied_now())}\r\n"

    def error(self, connection, code):
        if connection["state"] == "T" and code != "BUSY":
            connection["state"] = "E"
        return self.ready(connection, f"ERROR {code} {self.id}")

    def end(self, connection):
        connection.update(state="I", writes={}, plain=False)

    async def query(self, connection, rest):
        identifier, _, text = rest.partition(" ")
        verb, _, rest = text.partition(" ")
        if verb == "AFTERLSN":
            required, _, text = rest.partition(" ")
            if self.position(self.applied_now()) < tuple(int(part) for part in required.split(".")):
                return self.error(connection, "LAGGING")
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            return self.command(connection, verb, rest)
        if connection["state"] == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return self.error(connection, "MALFORMED")
        replaced = connection["plain"] and (self.role != "primary" or connection["term"] != self.term)
        if replaced and verb != "ROLLBACK" and (verb != "COMMIT" or connection["writes"]):
            return self.error(connection, "READONLY")
        if verb == "BEGIN":
            if not rest and self.role != "primary":
                return self.error(connection, "READONLY")
            connection.update(state="T", plain=not rest, writes={}, term=self.term)
            return self.ready(connection, "COMPLETE -")
        if verb == "ROLLBACK" or verb == "COMMIT" and connection["state"] == "E":
            self.end(connection)
            return self.ready(connection, "COMPLETE -" if verb == "ROLLBACK" else "ERROR ABORTED -")
        if verb == "SET":
            name, _, connection["values"][name] = rest.partition(" ")
            return self.ready(connection, "COMPLETE -")
        if verb == "DISCARD":
            connection.update(values={}, prepared={})
            return self.ready(connection, "COMPLETE -")
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            connection["prepared"][name] = (access, shape)
            return self.ready(connection, "COMPLETE -")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection["prepared"]:
                return self.error(connection, "NOSTMT")
            verb = connection["prepared"][name][0]
        return await self.statement(connection, identifier, verb, rest)

    def command(self, connection, verb, rest):
        if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
            self.paused = int(rest)
        elif verb == "STEPDOWN" and self.role == "primary" and self.term < int(rest):
            self.role = "replica"
            self.beat_now.set()
        elif verb == "RESUME":
            self.paused = 0
        lag = 0 if self.applied_now() == len(self.log) else int(LAG_S * 1000)
        row = f"{self.role} {self.term} {self.position_text(len(self.log))} {self.paused} {lag} 0 {len(self.connections)}"
        return self.ready(connection, f"DATAROW {row}\r\nCOMPLETE -")

    async def statement(self, connection, identifier, verb, rest):
        if verb not in ("READ", "WRITE", "COMMIT"):
            return self.error(connection, "MALFORMED")
        if verb == "WRITE" and (self.role != "primary" or connection["state"] == "T" and not connection["plain"]):
            return self.error(connection, "READONLY")
        if self.waiting >= QUEUE:
            return self.error(connection, "BUSY")
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(self.service.work_s(verb, rest))
        if not self.running:
            return None
        self.service.record.write("run", self.id, identifier, verb, rest)
        signature = f"COMPLETE {self.id}.{identifier}"
        if verb == "READ":
            return self.ready(connection, f"DATAROW {self.read(rest)}\r\n{signature}")
        if verb == "WRITE":
            item, _, data = rest.partition(" ")
            connection["writes"] = {**connection["writes"], item: data}
            if connection["state"] == "T":
                return self.ready(connection, signature)
        writes, term = connection["writes"], connection["term"] if connection["state"] == "T" else self.term
        self.end(connection)
        if writes:
            if self.role != "primary" or self.term != term:
                return self.error(connection, "READONLY")
            if not await self.commit(identifier, writes):
                return None
        return self.ready(connection, signature)

    async def commit(self, identifier, writes):
        """Waits until a replica has received the commit; without one the outcome stays unknown."""
        term, entry = self.term, (identifier, writes, time.monotonic())
        self.log.append(entry)
        self.service.commits[identifier] = term
        length = len(self.log)
        while self.running and self.term == term:
            for other in self.service.databases:
                if other is not self and other.running and len(other.log) >= length and other.log[length - 1] is entry:
                    await asyncio.sleep(LINK_S)
                    if not self.running or self.term != term:
                        return False
                    self.service.record.write("commit", identifier, "at", self.position_text(length), "received by", other.id)
                    return True
            if self.role != "primary":
                return False
            await asyncio.sleep(0.002)
        return False


class Service:
    def __init__(self, name, members, record, max_conns=21):
        self.name, self.members, self.record, self.max_conns = name, members, record, max_conns
        self.databases, self.primary = [], None
        self.term, self.starts = 1, {1: 0}
        self.token = 0
        self.commits = {}  # id of the statement that committed -> term
        self.promoted = []  # (database, new term, its log) at each promotion
        self.on_order = lambda database: None  # called when the platform accepts an order that changes the primary
        self.work_s = lambda verb, rest: 0.005

    def lost(self, acknowledged):
        """Acknowledged commits that a database lacked when it was promoted later."""
        return [f"the acknowledged commit {identifier} of term {self.commits[identifier]} isn't in the log of {database}, promoted to term {term}"
                for database, term, log in self.promoted for identifier in acknowledged
                if self.commits.get(identifier, term) < term and identifier not in log]

    def replicate(self):
        source = self.primary
        if source is None or not source.running or source.role != "primary":
            return
        for database in self.databases:
            if database is source or not database.running or database.deaf or database.paused > database.term:
                continue
            database.adopt()
            arrived = [entry for entry in source.log[len(database.log):] if entry[2] + LINK_S <= time.monotonic()]
            if arrived:
                database.log.extend(arrived)
                database.pending.append((time.monotonic() + LAG_S, len(database.log)))

    def promote(self, database, token):
        if token < self.token or not database.running or database is self.primary and database.role == "primary":
            return
        self.token = token
        self.term += 1
        self.starts[self.term] = len(database.log)
        former, self.primary = self.primary, database
        former.role = "replica"  # at this moment, wherever it is
        database.role, database.term, database.paused = "primary", self.term, 0
        self.promoted.append((database.id, self.term, {entry[0] for entry in database.log}))
        self.record.write("promoted", database.id, "term", self.term, "position", database.position_text(len(database.log)))
        for other in self.databases:
            if other.running and other is not database:
                other.paused = 0
                other.adopt()
                other.beat_now.set()
        database.beat_now.set()


class Platform:
    def __init__(self, services, record):
        self.services, self.record = services, record

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.task = asyncio.create_task(self.replicate())

    async def replicate(self):
        while True:
            for service in self.services.values():
                service.replicate()
            await asyncio.sleep(0.002)

    async def serve(self, reader, writer):
        try:
            while request := await reader.readline():
                headers = {}
                while line := (await reader.readline()).decode().strip():
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or "{}")
                status = self.order(headers, body) if request.startswith(b"POST /promote") else 404
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def order(self, headers, body):
        service, token = self.services[body["service"]], int(headers["fencing-token"])
        database = next((one for one in service.databases if one.id == body["id"]), None)
        status = 409 if token < service.token or database is None or not database.running else 200
        self.record.write("promote", body["id"], "by", headers["lease-holder"], "token", token, "answered", status)
        if status == 200:
            service.token = token
            if database is not service.primary or database.role != "primary":
                service.on_order(database)
                asyncio.get_running_loop().call_later(PROMOTE_S, service.promote, database, token)
        return status


async def http(address, method, path, body=None, redirects=True):
    """One request; returns the status, or 0 without an answer in a second."""
    writer = None
    try:
        async with asyncio.timeout(1):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                         "Connection: close\r\n\r\n".encode() + data)
            status = int((await reader.readline()).split()[1])
            if status == 307 and redirects:
                while line := (await reader.readline()).decode().strip():
                    if line.lower().startswith("location:"):
                        target = line.split("//", 1)[1]
                        return await http(target.split("/", 1)[0], method, "/" + target.split("/", 1)[1], body)
            return status
    except (OSError, ValueError, IndexError, TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


class Closed(Exception):
    """The connection ended before the answer."""


class Session:
    """One connection of a client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address, database):
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise Closed(str(error)) from error
        session = cls(reader, writer)
        try:
            async with asyncio.timeout(2):
                answer = await session.call(f"STARTUP {database} u1")
        except TimeoutError as error:
            session.close()
            raise Closed("no READY in 2 s") from error
        if answer[0] != "I":
            session.close()
            raise Closed(str(answer))
        return session

    async def call(self, line):
        """Returns (state, rows, word, rest)."""
        rows, word, rest = [], "", ""
        try:
            self.writer.write(line.encode() + b"\r\n")
            while (data := await self.reader.readline()).endswith(b"\r\n"):
                kind, _, text = data.decode().rstrip("\r\n").partition(" ")
                if kind == "READY":
                    return text[0], rows, word, rest
                if kind == "DATAROW":
                    rows.append(text)
                else:
                    word, rest = kind, text
        except OSError:
            pass
        raise Closed("closed")

    def close(self):
        self.writer.transport.abort()


class Process:
    def __init__(self, name, arguments, folder):
        self.name, self.arguments, self.folder, self.process = name, arguments, folder, None

    def start(self):
        with open(os.path.join(self.folder, self.name + ".out"), "ab") as log:
            self.process = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


class Deployment:
    """Three members of control, some proxies, the platform and the databases of one service."""

    def __init__(self, record, proxies=6, databases=3, max_conns=21):
        if not os.path.exists(CONTROL) or not os.path.exists(PROXY):
            raise CannotRun("the build of the deploy file is missing")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(1, 254)}.{random.randint(0, 255)}"
        self.ports = [self.free_port() for _ in range(7)]
        admin, link, metrics, frontend, readiness, platform, base = self.ports
        self.members = [f"{self.net}.{n + 1}:{admin}" for n in range(3)]
        self.seeds = json.dumps(self.members)
        self.platform_address = (f"{self.net}.250", platform)
        self.control = [self.make_control(n, link, metrics) for n in range(3)]
        self.proxies = [self.make_proxy(n, link, metrics, frontend, readiness) for n in range(proxies)]
        self.service = Service("huvo11a", self.members, record, max_conns)
        for n in range(databases):
            self.service.databases.append(Database(self.service, n + 1, f"{self.net}.{200 + n}:{base}", ZONES[n % 3]))
        self.service.primary = self.service.databases[0]
        self.service.primary.role = "primary"
        self.platform = Platform({self.service.name: self.service}, record)
        self.version = 0

    @staticmethod
    def free_port():
        while True:
            port = random.randint(12000, 32000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    def settings(self, name, text):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        return path

    def make_control(self, n, link, metrics):
        name, host = f"core-{n + 1}", f"{self.net}.{n + 1}"
        data = os.path.join(self.folder, f"data-{n + 1}")
        os.makedirs(data)
        path = self.settings(name, f"""[control]
name = "{name}"
failure_domain = "{ZONES[n]}"
http = "{self.members[n]}"
link = "{host}:{link}"
metrics = "{host}:{metrics}"
data = "{data}"
seeds = {self.seeds}
may_form = true
platform = "{self.platform_address[0]}:{self.platform_address[1]}"
heartbeat_ms = 1200
losses_to_bear = 1
orders_are_fenced = true
""")
        process = Process(name, [CONTROL, "serve-sessions", "--settings", path], self.folder)
        process.metrics = f"{host}:{metrics}"
        return process

    def make_proxy(self, n, link, metrics, frontend, readiness):
        name, host = f"proxy-{n + 1}", f"{self.net}.{n + 20}"
        regions = json.dumps([f"{zone}={region}" for zone, region in REGIONS.items()])
        path = self.settings(name, f"""[sessions]
name = "{name}"
failure_domain = "{ZONES[n % 3]}"
regions = {regions}
listen = "{host}:{frontend}"
ready = "{host}:{readiness}"
link = "{host}:{link}"
metrics = "{host}:{metrics}"
stop_limit_s = 6
drain_limit_ms = 7000
replaced_primary_stops = true

[limits]
files = 4300

[control]
seeds = {self.seeds}
link_port = {link}
""")
        process = Process(name, [PROXY, "sessions", "--settings", path], self.folder)
        process.callers, process.ready = f"{host}:{frontend}", f"{host}:{readiness}"
        return process

    async def put(self):
        self.version += 1
        route = {"path_prefix": "/", "service": self.service.name, "max_attempts": 2}
        document = {"version": self.version, "routes": [
            {**route, "name": "r-1", "host": "pedido", "kind": "primary", "timeout_ms": 1000, "target_latency_ms": 600, "priority": 1},
            {**route, "name": "r-2", "host": "consulta", "kind": "bounded_staleness", "timeout_ms": 2000, "target_latency_ms": 1200, "priority": 2,
             "max_staleness_ms": 1500},
            {**route, "name": "r-3", "host": "medida", "kind": "read_your_writes", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 2,
             "max_staleness_ms": 2500}],
            "services": [{"name": self.service.name, "health_path": "/health", "max_conns": self.service.max_conns, "protocol": "h1", "tls": False,
                          "sync_replicas": 1}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}}
        await wait_until("the configuration is accepted", lambda: self.put_once(document), 20)

    async def put_once(self, document):
        return await http(random.choice(self.members), "POST", "/waxwingtrestle/config/put", document) == 200

    async def start(self):
        await self.platform.start(*self.platform_address)
        for process in self.control + self.proxies:
            process.start()
        await self.put()
        for database in self.service.databases:
            await database.start()
        for proxy in self.proxies:
            await wait_until(f"{proxy.name} is ready", lambda proxy=proxy: is_ready(proxy), 20)

    async def leader(self):
        """The member of control that answers a read of the configuration itself."""
        for member, process in zip(self.members, self.control):
            if await http(member, "GET", "/waxwingtrestle/config/get", redirects=False) == 200:
                return process
        raise CannotRun("no member leads control")

    def end(self):
        for process in self.control + self.proxies:
            process.kill()
        if os.environ.get("KEEP"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(proxy):
    return await http(proxy.ready, "GET", "/waxwingtrestle/ready") == 200


async def wait_until(what, condition, limit_s):
    end = time.monotonic() + limit_s
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        if time.monotonic() > end:
            raise CannotRun(f"timed out waiting until {what}")
        await asyncio.sleep(0.02)


def main(folder, case):
    """Runs a case, which returns the violations. Exits with 1 if there are any, 0 if not, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, deployments = 2, []

    def deploy(**options):
        deployments.append(Deployment(record, **options))
        return deployments[-1]

    async def limited():
        async with asyncio.timeout(110):
            return await case(deploy, record, trouble)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        violations = asyncio.run(limited())
        for violation in violations:
            record.write("VIOLATION", violation)
            print("violation:", violation)
        code = 1 if violations else 0
    except (Exception, SystemExit) as error:
        print("the case could not run:", type(error).__name__, error)
        record.write("could not run:", type(error).__name__, error)
    finally:
        for deployment in deployments:
            deployment.end()
    print("disruption" if trouble else "no disruption", "- exit", code, flush=True)
    os._exit(code)  # without the tasks that are left
