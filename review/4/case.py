"""A replica that restarts while another one is being promoted lets the former primary acknowledge commits that are then lost."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

WRITERS = 8  # for each proxy
WORK_S = 0.02  # `work_ms` of medida: mean 20
RESTART_S = 0.3  # time that the replica is down


async def writer(proxy, name, record, acknowledged, until):
    """Writes one measurement after the other; opens a new session when one ends."""
    number, session = 0, None
    while asyncio.get_running_loop().time() < until():
        try:
            session = session or await standin.Session.open(proxy.callers, "medida")
            number += 1
            identifier = f"{name}x{number}"
            record.write("sent", identifier, "WRITE")
            _, _, word, rest = await session.call(f"QUERY {identifier} WRITE item-{name} data-{identifier}")
            record.write("answered", identifier, word, rest)
            if word == "COMPLETE":
                acknowledged.append(identifier)
        except standin.Closed:
            if session:
                session.close()
            session = None
        await asyncio.sleep(0.1)


async def case(deploy, record, trouble):
    deployment = deploy(proxies=6)
    service, loop = deployment.service, asyncio.get_running_loop()
    service.work_s = lambda verb, rest: WORK_S
    await deployment.start()
    primary, replicas = service.databases[0], service.databases[1:]
    acknowledged, end = [], [loop.time() + 60]
    near = deployment.proxies[:3]
    writers = [asyncio.create_task(writer(proxy, f"{proxy.name}-{n}", record, acknowledged, lambda: end[0])) for proxy in near for n in range(WRITERS)]
    await asyncio.sleep(4)

    async def restart(database):
        record.write("crash of", database.id)
        database.stop()
        await asyncio.sleep(RESTART_S)
        await database.start()

    def ordered(candidate):
        other = next(database for database in replicas if database is not candidate)
        if len(service.promoted) == 0 and other.running:
            asyncio.create_task(restart(other))

    if trouble:
        service.on_order = ordered
        cut = frozenset({"core-1", "core-2", "core-3", *(proxy.name for proxy in deployment.proxies[3:])})
        record.write(primary.id, "is cut off from", sorted(cut))
        primary.cut_from = cut
        await standin.wait_until("another database is promoted", lambda: service.promoted, 30)
        await asyncio.sleep(2)
        primary.cut_from = frozenset()
        record.write("the cut has healed")
    await asyncio.sleep(3)
    end[0] = loop.time()
    await asyncio.gather(*writers)
    record.write(len(acknowledged), "writes acknowledged")
    return service.lost(acknowledged)


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), case)
