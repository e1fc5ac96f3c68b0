"""Payments over HTTP under idempotency keys. With trouble the keys are long: they differ in their last digits alone."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common-2"))
from kit import *
from settings import script

PAYMENTS = 20
PREFIX = "a" * (600 if TROUBLE else 60)


async def case(record):
    workers = [await Worker(record).open() for _ in range(2)]
    gateway = MainGateway(script([w.port for w in workers], gateway=", holders = 1"), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    served = 0
    for _ in range(100):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(http_request("GET", "/readyz", []))
        ready = await http_response(reader)
        writer.close()
        if ready and ready[0] == 200:
            break
        await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(PAYMENTS):
        key = "%s-%06d" % (PREFIX, number)
        writer.write(http_request("POST", "/v1/functions/rent-account/invoke",
                                  [("X-Class", "payment-post"), ("Idempotency-Key", key)], b"monthly rent: 100"))
        answer = await asyncio.wait_for(http_response(reader), 10)
        record.say("client: payment %d under a key of %d bytes: %r" % (number, len(key), answer))
        if answer is None:
            raise CannotRun("the connection ended")
        served += answer[0] == 200
    await asyncio.sleep(0.5)
    runs = sum(len(w.runs) for w in workers)
    record.say("%d payments under %d keys: %d answered 'served', %d runs" % (PAYMENTS, PAYMENTS, served, runs))
    return ["a payment was answered 'served' and ran nowhere"] * (served - runs) if served > runs else []


main(case, FOLDER)
