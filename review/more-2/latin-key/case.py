"""Case 10's line drops an idempotency key with a byte that is not UTF-8: its repeat runs again. TROUBLE=0: a key of ASCII."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *
from settings import script


async def case(record):
    workers = [await Worker(record).open() for _ in range(2)]
    gateway = MainGateway(script([w.port for w in workers]), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    key = "loyer-d%scembre-4711" % ("\xe9" if TROUBLE else "e")
    for number in range(2):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(http_request("POST", "/v1/functions/rent-account/invoke",
                                  [("X-Class", "payment-post"), ("Idempotency-Key", key)], b"100"))
        record.say("try %d: %r" % (number, await asyncio.wait_for(http_response(reader), 10)))
        writer.close()
    runs = sum(len(w.runs) for w in workers)
    record.say("%d runs" % runs)
    return ["one payment under one key ran %d times" % runs] if runs > 1 else []


main(case, FOLDER)
