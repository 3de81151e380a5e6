"""A replica that leaves by plan goes on for some seconds, since its deregistration was recorded but not acknowledged; see claim.txt."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment  # noqa: E402

DEAF_S = 6.0  # replica_lag, "deaf crash": for_s of the site's troubles is 6.5
DOWN_S = 7.0  # srv_crash, "primary": for_s of the site's troubles is 7.0
CUT_S = 5.0  # srv_cut: for_s is 5 by default
GOES_ON_S = 5.0  # "If it receives no acknowledgement, it exits anyway, some seconds later"
DRAIN_S = 7.0


async def send_deregistration(world, database):
    """Sends the deregistration; the cut begins before its answer arrives."""
    body = json.dumps({"service": database.service.name, "address": database.address, "born": database.born}).encode()
    host, port = world.members[0].rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /waxwingtrestle/instances/{database.id}/deregister HTTP/1.1\r\nHost: {world.members[0]}\r\n"
                 f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()
    return writer


async def write(world, number, acknowledged, stop):
    """A client that writes; an acknowledged write is kept with the time of its answer."""
    session, n = None, 0
    while not stop.is_set():
        proxy = (number + n) % len(world.proxies)
        session = session or deployment.Session(world, proxy, "orders-own")
        if session.writer is None and not await session.open():
            session, n = None, n + 1
            await asyncio.sleep(0.1)
            continue
        data = f"c{number}-{n}"
        n += 1
        word, detail, _ = await session.query(f"WRITE item{number} {data}")
        world.record.write(f"client {number}: WRITE {data} through {world.proxies[session.proxy].name}: {word} {detail}")
        if word == "COMPLETE" and detail != "-":
            acknowledged[data] = time.monotonic()
        elif word == "LOST":
            session = None
        await asyncio.sleep(random.uniform(0.1, 0.3))


async def main(record, trouble, make):
    world = make()
    await world.start()
    await world.until_served("orders-own")
    service = world.services["orders"]
    primary, near, far = service.databases
    acknowledged, lost, stop = {}, [], asyncio.Event()

    def compare(database):
        held = {data for _, data, _ in database.log}
        missing = [data for data in acknowledged if data not in held]
        record.say(f"{len(acknowledged)} acknowledged writes, {len(missing)} of them are not in the log of {database.id}: {' '.join(missing[:10])}")
        lost.extend(missing)

    world.platform.on_promotion = compare
    clients = [asyncio.create_task(write(world, number, acknowledged, stop)) for number in range(6)]
    await asyncio.sleep(6)
    record.say(f"{near.id} is to be shut down and reports draining")
    near.draining = True
    near.beat_now.set()
    await asyncio.sleep(DRAIN_S + 0.5)
    near.tasks[0].cancel()  # no more heartbeats
    began = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

    if trouble:
        writer = await send_deregistration(world, near)
        near.cut_from_control = True
        record.say(f"{near.id} has sent its deregistration and is cut from control; no answer reaches it")
        await at(3.8)
        record.say(f"{far.id} receives nothing from now on")
        far.deaf = True
        await at(4.8)
        record.say(f"{primary.id}, the primary, crashes")
        primary.crash()
        await at(GOES_ON_S)
        writer.close()
        record.say(f"{near.id} exits without an acknowledgement, with {len(near.log)} entries; the cut ends with it")
        near.crash()
        service.databases.remove(near)
        await at(3.8 + DEAF_S)
        far.deaf = False
        record.say(f"{far.id} receives again")
        await at(4.8 + DOWN_S)
        record.say(f"{primary.id} starts again with its log")
        await primary.start()
        await asyncio.sleep(6)
    else:
        body = {"service": service.name, "address": near.address, "born": near.born}
        status, _ = await deployment.http(world.members[0], "POST", f"/waxwingtrestle/instances/{near.id}/deregister", body)
        record.say(f"{near.id} has deregistered, answered with {status}, and exits")
        near.crash()
        service.databases.remove(near)
        await asyncio.sleep(15)
    stop.set()
    await asyncio.gather(*clients, return_exceptions=True)
    record.say(f"{len(acknowledged)} writes were acknowledged")
    return bool(lost)


sys.exit(deployment.run(main, os.path.dirname(os.path.abspath(__file__))))
