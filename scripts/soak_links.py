"""Relay for the links between proxies and members of control, and between members, which silences, delays and resets them."""

import asyncio
import time

CHUNK = 1 << 16
NAME_FIELD = b"\x08Identity"  # metadata of ZeroMQ's handshake, with the name of the process that connects
NAME_LIMIT = 1024  # the handshake ends before
TO_MEMBER, FROM_MEMBER = "to", "from"


class Fault:
    """Applies to the connections that `concerns(name of the process that connects, member)` selects, in the given directions."""

    def __init__(self, concerns, directions, delay=None, since=float("inf")):
        self.concerns, self.directions = concerns, directions
        self.delay = delay  # seconds; None: silence
        self.since = since  # connections that were opened later are not concerned
        self.over = asyncio.Event()


class Connection:
    def __init__(self, member, writers):
        self.member, self.writers, self.name, self.opened = member, writers, "", time.monotonic()
        self.head = b""

    def learn(self, data):
        """Takes the name from the first bytes of the process that connects."""
        if not self.name and len(self.head) < NAME_LIMIT:
            self.head += data
            at = self.head.find(NAME_FIELD)
            if at >= 0 and len(self.head) >= at + len(NAME_FIELD) + 4:
                begin = at + len(NAME_FIELD) + 4
                size = int.from_bytes(self.head[begin - 4:begin], "big")
                if len(self.head) >= begin + size:
                    self.name = self.head[begin:begin + size].decode("latin-1")

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    def __init__(self):
        self.connections, self.faults, self.servers = set(), [], {}
        self.names = set()  # all names seen, for the check that the relay can tell them

    async def listen(self, member, host, port, target):
        """Relays connections to host:port to the target port of the same host."""
        async def serve(reader, writer):
            await self._relay(member, host, target, reader, writer)
        self.servers[member] = await asyncio.start_server(serve, host, port, backlog=1000)

    async def _relay(self, member, host, target, reader, writer):
        try:
            inner, outer = await asyncio.open_connection(host, target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(member, (writer, outer))
        self.connections.add(connection)
        try:
            await asyncio.gather(self._pump(connection, reader, outer, TO_MEMBER), self._pump(connection, inner, writer, FROM_MEMBER))
        except (OSError, EOFError):
            pass  # One end closed or the fault reset it.
        finally:
            self.connections.discard(connection)
            connection.abort()

    async def _pump(self, connection, reader, writer, direction):
        while True:
            data = await reader.read(CHUNK)
            if not data:
                raise EOFError
            if direction == TO_MEMBER and not connection.name:
                connection.learn(data)
                self.names.add(connection.name)
            while fault := self._fault(connection, direction):
                if fault.delay is not None:
                    await asyncio.sleep(fault.delay)
                    break
                await fault.over.wait()
            writer.write(data)
            await writer.drain()

    def _fault(self, connection, direction):
        return next((fault for fault in self.faults if direction in fault.directions and connection.opened < fault.since
                     and fault.concerns(connection.name, connection.member)), None)

    async def harm(self, fault, seconds, reset):
        """Applies a fault for a time; resets the connections that it concerned at its end if asked for."""
        self.faults.append(fault)
        await asyncio.sleep(seconds)
        self.faults.remove(fault)
        if reset:
            self.reset(fault)
        fault.over.set()

    def reset(self, fault):
        for connection in list(self.connections):
            if fault.concerns(connection.name, connection.member):
                connection.abort()
