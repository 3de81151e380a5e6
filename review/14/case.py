"""A member of control is replaced in the planned way, and just after it has left another one loses its disk."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import world as w  # noqa: E402

SUCCESSOR_S = 6.0  # more than catch_up_s, 4 s, after its start the successor counts and the machine that it replaces does not
GAP_S = 1.0  # from the end of the removed machine to the loss of the disk
CONTACT_S, RECOVERY_S, ACK_TIMEOUT_S = 5.0, 12.0, 6.0


async def case(world):
    if not await world.start():
        return w.CANNOT_RUN
    removed, wiped, _ = world.controls
    successor = world.add_control()
    successor.start()
    await asyncio.sleep(SUCCESSOR_S)
    if await world.configure(world.document(timeout_ms=1100)) != 200:
        return w.CANNOT_RUN
    acknowledged = world.version
    removed.signal(signal.SIGTERM)
    while removed.runs():
        await asyncio.sleep(0.02)
    world.admins.remove(removed.admin)
    world.note(f"{removed.name} has ended by SIGTERM and is removed for good; {successor.name} started {SUCCESSOR_S} s before")
    await asyncio.sleep(GAP_S)
    if w.TROUBLE:
        world.wipe(wiped)
    disturbed_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S)
    # The core is stable: all of its machines run and are connected since recovery_s.
    order = world.document(timeout_ms=1200)
    began = time.monotonic()
    status = await world.configure(order, limit=2 * ACK_TIMEOUT_S)
    took = time.monotonic() - began
    world.note(f"version {order['version']}, sent {began - disturbed_at:.1f} s after the last disturbance: status {status} after {took:.1f} s")
    newest = 0
    end = time.monotonic() + 2 * CONTACT_S
    while time.monotonic() < end and newest < acknowledged:
        for admin in world.admins:
            code, body = await w.http(admin, "GET", "/waxwingtrestle/config/get")
            world.record(f"{admin} answers the read of the configuration with {code}")
            newest = max(newest, json.loads(body)["version"] if code == 200 else 0)
        await asyncio.sleep(0.2)
    world.note(f"read back: version {newest or 'none'}; acknowledged before: {acknowledged}")
    for process in world.controls[1:]:
        status_of = await world.status(process)
        world.note(f"{process.name} says: term {status_of.get('term')}, leader {status_of.get('leader') or 'none'}, serving {status_of.get('serving')}")
    if newest < acknowledged or status != 200 or took > ACK_TIMEOUT_S:
        return w.BROKEN
    return w.HELD


w.run(w.World(FOLDER), case)
