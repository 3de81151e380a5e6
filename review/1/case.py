"""Answers to a killed proxy's statements reach the callers of the process that was started in its place."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

CLIENTS = 12
RESTART_S = (0.0, 0.4, 0.6)  # for each proxy that is killed: time until it is started again
WORK_S = 0.36  # `work_ms` of consulta-status: mean 34, at most 360

sent = []  # ids of the statements


async def client(proxy, name, number, record, violations, tries):
    """Opens a session, at first again while the proxy starts, and reads the status of one order."""
    item, identifier = f"order-{name}-{number}", f"{name}{number:02d}"
    for _ in range(tries):
        try:
            session = await standin.Session.open(proxy.callers, "consulta")
            break
        except standin.Closed:
            await asyncio.sleep(0.02)
    else:
        raise standin.CannotRun(f"{identifier} found no session")
    sent.append(identifier)
    record.write("sent", identifier, "READ", item)
    try:
        _, rows, word, rest = await session.call(f"QUERY {identifier} READ {item}")
    except standin.Closed:
        record.write("answered", identifier, "closed")
        return
    finally:
        session.close()
    record.write("answered", identifier, rows, word, rest)
    if word == "COMPLETE" and (not rest.endswith("." + identifier) or rows != [f"initial-{item}"]):
        violations.append(f"{identifier} asked for {item} and got {rows} with the signature {rest}")


async def case(deploy, record, trouble):
    deployment = deploy(proxies=12)
    service = deployment.service
    service.work_s = lambda verb, rest: WORK_S if verb == "READ" else 0.005
    await deployment.start()
    names = {proxy.name for proxy in deployment.proxies}
    connected = lambda: names.intersection(*(database.callers for database in service.databases))
    await standin.wait_until("some proxies hold connections", connected, 20)
    await asyncio.sleep(2)
    record.write("hold connections:", sorted(connected()))
    others = [proxy for proxy in deployment.proxies if proxy.name not in connected()]
    if not others:
        raise standin.CannotRun("every proxy holds connections")
    violations = []
    for turn, (proxy, delay) in enumerate(zip(others, RESTART_S)):
        await restart_between(proxy, delay if trouble else None, f"{turn}a", f"{turn}b", record, violations)
    return violations


async def restart_between(proxy, delay, former, latter, record, violations):
    """Sends statements to a proxy, kills it while they run, and sends others to the process that is started in its place."""
    sent.clear()
    first = [asyncio.create_task(client(proxy, former, number, record, violations, 1)) for number in range(CLIENTS)]
    await standin.wait_until("the first statements are sent", lambda: len(sent) == CLIENTS, 5)
    await asyncio.sleep(0.03)
    if delay is not None:
        record.write("SIGKILL of", proxy.name)
        proxy.kill()
        await asyncio.sleep(delay)
        proxy.start()
    await standin.wait_until("the proxy is ready", lambda: standin.is_ready(proxy), 20)
    record.write(proxy.name, "is ready")
    await asyncio.sleep(0.05)
    second = [asyncio.create_task(client(proxy, latter, number, record, violations, 200)) for number in range(CLIENTS)]
    await asyncio.gather(*first, *second)
    await asyncio.sleep(1)


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), case)
