"""Entry 61 (7): TERM with all places taken by calls in hand, and calls that wait to be accepted. TROUBLE=0: no TERM."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *
from settings import script

PLACES, WAITING = 40, 10


async def case(record):
    workers = [await Worker(record, work=1.5).open() for _ in range(2)]
    gateway = MainGateway(script([w.port for w in workers], limits=", connections = %d" % PLACES), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    broken = []

    async def call(number, after):
        await asyncio.sleep(after)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(http_request("POST", "/v1/functions/f%d/invoke" % (number % 5), [("X-Class", "balance-check")], b"x"))
        try:
            answer = await asyncio.wait_for(http_response(reader), 10)
        except asyncio.TimeoutError:
            answer = None
        writer.close()
        record.say("call %d: %r" % (number, answer and (answer[0], answer[1].get("x-reason"))))
        if answer is None:
            broken.append("call %d: its connection ended without an answer" % number)

    calls = [asyncio.ensure_future(call(n, 0 if n < PLACES else 0.3)) for n in range(PLACES + WAITING)]
    await asyncio.sleep(0.8)
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
    await asyncio.gather(*calls)
    return broken


main(case, FOLDER)
