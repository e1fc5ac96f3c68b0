"""The directory is silent for 8 s; one second into it a host begins to drain. Probes are not allowed."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *

SILENT = 8.0           # herd+mass: 'discovery is down for 8 s'
TOLD_IN_SILENCE = 4.5  # 'counts as told at the latest 4.5 s after that began'
GRACE = 0.5            # rennes-campus: drain_grace_ms = 500
SLACK = 0.05           # 'every time limit is 50 ms longer'
RATE = 40              # requests a second


async def case(record):
    late = Lateness()
    watch = asyncio.ensure_future(late.watch())
    hosts = [await Host("s-%02d" % i, record, zone=("hall-a", "hall-b")[i % 2], cell=1 + i % 2).open()
             for i in range(10)]
    directory = await Directory(record).open()
    directory.hosts = hosts
    port = free_port()
    settings = {"zone": "hall-a", "zones": ["hall-a", "hall-b"], "balancers": 2,
                "limits.probes": False, "limits.peer_messages": False, "limits.may_duplicate": True,
                "limits.max_streams": 32, "limits.idle_close": 30000000, "limits.max_retry_after": 1000000,
                "rules.drain_grace": int(GRACE * 1e6), "rules.tip_multiple": 4.0, "rules.cold_from": 0.16,
                "rules.warm_up": 17000000, "reporting.fields": ["inflight", "util", "x1"],
                "reporting.via": "piggyback"}
    gateway = Gateway(config("n0", port, directory.port, hosts, [profile("match", aim=1200000, give_up=4000000)],
                             settings), record)
    gateway.start()
    await wait_ready(gateway, port)
    client = await Client().connect(port)
    functions = [hex16() for _ in range(60)]
    stop = False

    async def load():
        while not stop:
            client.send("match", 2000, random.choice(functions), b"x" * 50)
            await asyncio.sleep(1 / RATE)

    asyncio.ensure_future(load())
    await asyncio.sleep(4)
    began = now()
    directory.silent = TROUBLE
    record.say("directory: %s" % ("silent from now on" if TROUBLE else "goes on answering"))
    await asyncio.sleep(1)
    # A host on which many of the functions have their home.
    drains = max(hosts, key=lambda h: len(h.invokes))
    drains.phase = "Terminating"
    directory.event()
    happened = now()
    await asyncio.sleep(began + SILENT - now())
    directory.silent = False
    record.say("directory: answers again")
    await asyncio.sleep(2)
    stop = True
    await asyncio.sleep(2.5)
    watch.cancel()
    if not gateway.alive():
        raise CannotRun("the gateway ended")
    told = directory.told.get((drains.id, "Terminating"), now())
    told = min(told, began + TOLD_IN_SILENCE if TROUBLE else happened + 1.5)
    record.say("%s drains since %.3f, told %.3f; own lateness %.3f s" % (
        drains.id, happened - record.start, told - record.start, late.most))
    until = told + GRACE + SLACK + late.most
    sends = [("request " + r["id"], r["at"]) for r in drains.invokes]
    sends += [("order to hold " + o["asset"], o["at"]) for o in drains.orders if o["instances"] > 0]
    served = sum(1 for a in client.answers.values() if a[0][0] == SERVED)
    record.say("%d requests sent, %d served; %d sends to %s since it drains" % (
        client.stream, served, sum(1 for _, at in sends if at > happened), drains.id))
    return ["%s was sent to %s %.3f s after the gateway counts as told of its drain" % (what, drains.id, at - told)
            for what, at in sorted(sends, key=lambda s: s[1]) if at > until]


main(case, FOLDER)
