"""A new leader of control does not know of a lost replica that had the only copy of acknowledged commits, and promotes the other one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

WRITERS = 3  # for each proxy
DEAF_S = 6.5
PRIMARY_DOWN_S = 7.0


async def writer(proxy, name, record, acknowledged, until):
    """Writes one measurement after the other."""
    number, session = 0, None
    while asyncio.get_running_loop().time() < until:
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
    service.work_s = lambda verb, rest: 0.02
    await deployment.start()
    primary, deaf, lost = service.databases
    acknowledged = []
    await asyncio.sleep(3)
    begin = loop.time()

    async def at(seconds):
        await asyncio.sleep(max(0, begin + seconds - loop.time()))

    if trouble:
        record.write(deaf.id, "receives nothing")
        deaf.deaf = True
        loop.call_later(DEAF_S, setattr, deaf, "deaf", False)
    await asyncio.gather(*(writer(proxy, f"{proxy.name}-{n}", record, acknowledged, begin + 1.0) for proxy in deployment.proxies for n in range(WRITERS)))
    record.write(len(acknowledged), "writes acknowledged")
    await at(1.4)
    if trouble:
        lost.stop()
        record.write(lost.id, "is lost for good")
        await at(DEAF_S - 0.1)
        record.write("crash of the primary", primary.id)
        primary.stop()
        loop.call_later(PRIMARY_DOWN_S, lambda: asyncio.ensure_future(primary.start()))
        await at(9.7)
        leader = await deployment.leader()
        record.write("SIGKILL of", leader.name, "which leads control")
        leader.kill()
        leader.start()
    await at(18)
    return service.lost(acknowledged)


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), case)
