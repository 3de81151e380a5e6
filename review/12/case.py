"""A database that has started in the place of a replica that left, and that control has not heard of yet, alone has acknowledged commits."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

DRAIN_S, REUSE_S, CUT_S, DEAF_S, DOWN_S = 7.0, 2.0, 4.9, 6.0, 6.9  # limits: see claim.txt


async def order(world, proxy, number, acknowledged):
    client = w.Client(world, proxy.address, "p-pedidos", f"shop{number}")
    if (await client.open())[0]:
        answer, _ = await client.ask(f"WRITE order-{number} hem-{number}", 3)
        client.close()
        world.note(f"order {number} through {proxy.name}: {answer[0]} {answer[1]}")
        if answer[0] == "COMPLETE":
            acknowledged.append((f"order-{number}", f"hem-{number}"))


async def case(world):
    if not await world.start():
        return w.CANNOT_RUN
    service = world.services["pedidos"]
    primary, leaving, other = service.databases
    acknowledged, lost = [], w.Promotions(world, service)
    lost.acknowledged = acknowledged
    for number, proxy in enumerate(world.proxies):
        await order(world, proxy, number, acknowledged)
        await asyncio.sleep(0.3)
    if not await leaving.say_draining():
        return w.CANNOT_RUN
    await asyncio.sleep(DRAIN_S + 0.5)
    if not await leaving.deregister():
        return w.CANNOT_RUN
    await asyncio.sleep(REUSE_S + 0.5)
    successor = world.add_database(service, "i-14", leaving.address.rsplit(":", 1)[0], leaving.zone)
    successor.log, successor.applied = list(leaving.log), len(leaving.log)  # transferred
    cut_at = time.monotonic()
    if w.TROUBLE:
        successor.cut = True
        world.note(f"{successor.id} is partitioned from control for {CUT_S} s, not from the proxies and the other databases")
    await successor.start()
    world.note(f"{successor.id}, a new database, starts at the address of {leaving.id}, with its log")
    await asyncio.sleep(0.5)
    deaf_at = time.monotonic()
    if w.TROUBLE:
        other.deaf = True
        world.note(f"{other.id} receives nothing for {DEAF_S} s")
    await asyncio.sleep(0.2)
    for number in (10, 11):
        await order(world, world.proxies[number - 10], number, acknowledged)
    if len(acknowledged) != 5:
        return w.CANNOT_RUN
    await asyncio.sleep(0.5)
    if w.TROUBLE:
        await primary.stop()
        down_at = time.monotonic()
        world.note(f"{primary.id}, the primary, crashes while {other.id} receives nothing")
        await asyncio.sleep(cut_at + CUT_S - time.monotonic())
        successor.cut = False
        world.note(f"{successor.id} and control reach each other; it holds {len(successor.log)} commits")
        await asyncio.sleep(deaf_at + DEAF_S - time.monotonic())
        other.deaf = False
        world.note(f"{other.id} receives again")
        await asyncio.sleep(down_at + DOWN_S - time.monotonic())
        await primary.start()
        world.note(f"{primary.id} is back with its log, as {primary.role}")
    await asyncio.sleep(6)
    async def served():
        return await world.serves(world.proxies[0])
    if not await world.until("reads are served", served, 20):
        return w.CANNOT_RUN
    world.note(f"acknowledged: {len(acknowledged)}, missing from the log of a promoted database: {len(lost.found)}")
    return w.BROKEN if lost.found else w.HELD


w.run(w.World(FOLDER), case)
