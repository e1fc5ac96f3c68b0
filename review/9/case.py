"""A hundred and twenty posts are in hand when their workers answer at once, each with four megabytes, which the pages allow."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from kit import *
from settings import script

CALLS = 120
WORKERS = 4
ANSWER = 4000000 if TROUBLE else 20000  # 'that of a call or an answer is at most the largest frame less 4 KiB': 4,190,208


async def case(record):
    workers = [subprocess.Popen([sys.executable, os.path.join(FOLDER, "..", "common-2", "answerer.py"), str(ANSWER)],
                                stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for _ in range(WORKERS)]
    try:
        return await play(record, workers, [int(w.stdout.readline()) for w in workers])
    finally:
        for worker in workers:
            worker.kill()
            worker.wait()


async def play(record, workers, ports):
    gateway = MainGateway(script(ports, gateway=", holders = 1"), record)
    gateway.start()
    host, port = gateway.at["http"].split(":")
    for _ in range(100):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(http_request("GET", "/readyz", []))
        ready = await http_response(reader)
        writer.close()
        if ready and ready[0] == 200:
            break
        await asyncio.sleep(0.05)
    broken, counts = [], {"served": 0, "refused": 0, "failed": 0}

    async def post(number):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        writer.write(http_request("POST", "/v1/functions/account-%d/invoke" % (number % 5), [("X-Class", "payment-post")],
                                  b"post %d" % number))
        try:
            answer = await asyncio.wait_for(http_response(reader), 6)
        except asyncio.TimeoutError:
            return broken.append("post %d had no answer within 6 s" % number)
        finally:
            writer.close()
        if answer is None:
            return broken.append("post %d: its connection ended without a whole answer" % number)
        counts[answer[1].get("x-status", "refused")] += 1
        record.say("client: post %d: %d %s, %d bytes" % (number, answer[0], answer[1].get("x-status"), len(answer[2])))

    posts = [asyncio.ensure_future(post(number)) for number in range(CALLS)]
    await asyncio.sleep(1.5)
    record.say("the workers answer: %d bytes each" % ANSWER)
    for worker in workers:
        worker.stdin.write("go\n")
        worker.stdin.flush()
    await asyncio.gather(*posts)
    runs = 0
    for worker in workers:
        worker.stdin.write("end\n")
        worker.stdin.flush()
        runs += int(worker.stdout.readline())
    if not gateway.alive():
        raise CannotRun("the gateway ended")
    record.say("%d posts, %d runs at the workers: %d served, %d refused, %d failed, %d lost" % (
        CALLS, runs, counts["served"], counts["refused"], counts["failed"], len(broken)))
    return broken


main(case, FOLDER)
