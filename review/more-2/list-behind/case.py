"""A list service tells that a worker drains, and ends. The next service in the settings is some seconds behind."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *
from settings import script

GRACE = 1.0   # settings: drain_grace, by default and here s(1); BRIEF 8.1: 'later than 1 s after the gateway was told'
SLACK = 0.05
BEHIND = 3.0  # BRIEF 6.1: 'pushes changes to every gateway, seconds late'
RATE = 40


async def case(record):
    late = Lateness()
    watch = asyncio.ensure_future(late.watch())
    workers = [await Worker(record).open() for _ in range(4)]
    entries = {"w-%d" % i: (w.port, "block-a", 0, 0) for i, w in enumerate(workers)}
    first = await ListService("A", record, 7, entries).open()
    second = await ListService("B", record, 7, entries).open()
    lists = ', list = ["127.0.0.1:%d", "127.0.0.1:%d"]' % (first.port, second.port)
    gateway = MainGateway(script([], gateway=lists), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    for _ in range(100):
        if first.followers:
            break
        await asyncio.sleep(0.05)
    else:
        raise CannotRun("the gateway follows no list")
    stop, answers = [], []

    async def load():
        reader, writer = await asyncio.open_connection(host, int(port))
        while not stop:
            writer.write(http_request("POST", "/v1/functions/balance-%d/invoke" % random.randrange(40),
                                      [("X-Class", "balance-check")], b"x"))
            answer = await asyncio.wait_for(http_response(reader), 10)
            answers.append(answer and answer[0])
            await asyncio.sleep(1 / RATE)

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(3)
    drains = max(range(len(workers)), key=lambda i: len(workers[i].runs))
    ident = "w-%d" % drains
    first.change(ident, 1)
    told = first.told[(ident, 1)]
    await asyncio.sleep(1.5)
    if TROUBLE:
        first.close()
    await asyncio.sleep(told + BEHIND - now())
    second.change(ident, 1)
    await asyncio.sleep(2)
    stop.append(True)
    await loading
    watch.cancel()
    if not gateway.alive():
        raise CannotRun("the gateway ended")
    after = [r for r in workers[drains].runs if r["at"] > told]
    record.say("%s drains, told at %.3f; %d calls answered; %d sent to it after it was told; own lateness %.3f s" % (
        ident, told - record.start, len(answers), len(after), late.most))
    return ["%s of %s was sent to %s %.3f s after the gateway was told that it drains" % (
        r["function"], r["class"], ident, r["at"] - told) for r in after if r["at"] - told > GRACE + SLACK + late.most]


main(case, FOLDER)
