"""A key that was taken away more than RevokeMs ago runs again after a machine was cut off from the store."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

CUT_S = 12.0        # the longest `node_cut` of the site file
STORM = 20          # two storms in a row, each a change every 0.33 s for 4 s; the key is taken away in the second
STORM_GAP_S = 0.33
MORE_ROUTES = 1050  # three times the 350 of `big_config`
REVOKE_S = 5.0      # RevokeMs
REQUESTERS = 40
REQUESTS_PER_S = 40


async def case(record, folder, machines):
    store = await Store().start()
    path = await Path(store.address).start()
    servers = [await Server(record, f"i-{n:08x}", "wuno96b", "tx-central-a").start() for n in (1, 2, 3)]
    for server in servers:
        await store.put("keyed.servers", server.name, server.entry())
    routes = plain_routes() + more_routes(MORE_ROUTES)
    version = 7
    await store.put("keyed.op", "config", configuration(version, routes))
    zones = {"tx-central-a": "tx-central"}
    machine = Machine(folder, "frontend-tx-central-a-1", "tx-central-a", path.address, zones)
    machines.append(await machine.start())
    await machine.wait_until_ready()

    taken_away = KEYS["hule930"]
    sent, ended = {}, asyncio.Event()

    async def requester(index):
        channel = Requester(machine.frontend)
        number = 0
        while not ended.is_set():
            await asyncio.sleep(random.uniform(0, 2 * REQUESTERS / REQUESTS_PER_S))
            number += 1
            attempt = f"{index:04x}{number:012x}"
            sent[attempt] = time.monotonic()
            at, answer = await channel.send("GET", f"/cufi504/{number}", attempt, key=taken_away)
            sent[attempt] = at
            record.line("answer", id=attempt, status=answer and answer.status)
        channel.close()

    requesters = [asyncio.create_task(requester(i)) for i in range(REQUESTERS)]
    await asyncio.sleep(2)
    if not sum(len(s.runs) for s in servers):
        raise CouldNotRun("no request ran before the trouble")

    if trouble():
        path.set_cut(True)
        record.line("cut")
    cut_at = time.monotonic()
    for n in range(STORM):
        version += 3
        routes = [dict(r) for r in routes]
        routes[-1 - n]["TimeoutMs"] += 1
        await store.put("keyed.op", "config", configuration(version, routes))
        record.line("config", version=version)
        await asyncio.sleep(STORM_GAP_S)
    version += 3
    keys = {name: key for name, key in KEYS.items() if key != taken_away}
    confirmed = await store.put("keyed.op", "config", configuration(version, routes, keys))
    record.line("key_taken_away", version=version)
    await asyncio.sleep(cut_at + CUT_S - time.monotonic())
    path.set_cut(False)
    record.line("cut_ends")
    await asyncio.sleep(6)
    ended.set()
    await asyncio.gather(*requesters)

    late = [run for server in servers for run in server.runs
            if sent[run["id"]] > confirmed + REVOKE_S]
    for run in late:
        record.line("BROKEN", id=run["id"], server=run["server"],
                    sent_after_confirmation=f"{sent[run['id']] - confirmed:.3f}")
    print(f"{len(late)} requests with the key ran that were sent over {REVOKE_S} s after it was taken away")
    return BROKEN if late else HELD


main(case)
