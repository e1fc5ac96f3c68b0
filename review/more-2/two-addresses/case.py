"""Case 7's fault at `cresswheel gateway`: all places are taken, 39 by one address and one by another, and more calls come.
TROUBLE=0: all 40 are of one address."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *
from settings import script

PLACES = 40


async def case(record):
    workers = [await Worker(record, work=0.5).open() for _ in range(2)]
    gateway = MainGateway(script([w.port for w in workers], limits=", connections = %d" % PLACES), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")

    async def connect(address):
        return await asyncio.open_connection(host, int(port), local_addr=(address, 0))

    held = [await connect("127.0.0.1") for _ in range(PLACES - 1)]
    held.append(await connect("127.0.0.2" if TROUBLE else "127.0.0.1"))
    await asyncio.sleep(0.5)
    broken = []

    async def call(number):
        try:
            reader, writer = await connect("127.0.0.1")
            writer.write(http_request("POST", "/v1/functions/f/invoke", [("X-Class", "balance-check")], b"x%d" % number))
            answer = await asyncio.wait_for(http_response(reader), 10)
            writer.close()
        except (OSError, asyncio.TimeoutError) as error:
            answer = None
            record.say("call %d: %r" % (number, error))
        record.say("call %d: %r" % (number, answer and answer[0]))
        if answer is None:
            broken.append("call %d: its connection ended without an answer" % number)

    calls = [asyncio.ensure_future(call(n)) for n in range(5)]
    await asyncio.sleep(1)
    record.say("ten idle clients leave")
    for _, writer in held[:10]:
        writer.close()
    await asyncio.gather(*calls)
    return broken


main(case, FOLDER)
