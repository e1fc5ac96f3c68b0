"""Estimates are asked over HTTP, some with a length that is not digits alone. Their bodies are notes that quote a request."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from kit import *
from settings import script

# Each is a length, or a transfer coding, with one byte behind it that no length or coding has. 0xa0 is a no-break space in Latin-1.
FAULTS = [b"Content-Length: %d\xa0", b"Content-Length: %d\xb2", b"Transfer-Encoding: chunked\xa0"]


def body(number):
    """A tenant's note, sent as the body of an estimate: it quotes how a payment is posted."""
    inner = b"100 to account %d" % number
    return http_request("POST", "/v1/functions/rent-account/invoke",
                        [("X-Class", "payment-post"), ("X-Trace", "quoted-%d" % number)], inner)


async def case(record):
    workers = [await Worker(record).open() for _ in range(2)]
    gateway = MainGateway(script([w.port for w in workers]), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    broken, served, refused, sent_bodies = [], 0, 0, set()
    for number in range(12):
        note = body(number)
        sent_bodies.add(note)
        fault = FAULTS[number % len(FAULTS)] if TROUBLE else b"Content-Length: %d"
        fault = fault % len(note) if b"%d" in fault else fault
        head = http_request("POST", "/v1/functions/estimate/invoke", [("X-Class", "charge-estimate")], length=False)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head[:-2] + fault + b"\r\n\r\n" + note)
        record.say("client: an estimate with the line %r and a body of %d bytes" % (fault, len(note)))
        statuses = []
        while True:
            try:
                response = await asyncio.wait_for(http_response(reader), 1)
            except asyncio.TimeoutError:
                record.say("client: the connection is still open")
                break
            if response is None:
                record.say("client: closed")
                break
            statuses.append(response[0])
            record.say("client: answer %d %r %r" % (response[0], response[1], response[2][:60]))
        writer.close()
        served += statuses[:1] == [200]
        refused += bool(statuses) and statuses[0] >= 400
    await asyncio.sleep(0.5)
    if not gateway.alive():
        raise CannotRun("the gateway ended")
    for run in [r for w in workers for r in w.runs]:
        if run["class"] != "charge-estimate" or run["function"] != "estimate":
            broken.append("a worker ran %s (%s) with %r, which no client asked for" % (
                run["function"], run["class"], run["body"]))
        elif run["body"] not in sent_bodies:
            broken.append("a worker ran an estimate with the body %r, which no client sent" % run["body"][:40])
    record.say("12 estimates: %d served, %d refused; %d runs at the workers" % (
        served, refused, sum(len(w.runs) for w in workers)))
    return broken


main(case, FOLDER)
