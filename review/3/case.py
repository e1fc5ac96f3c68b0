"""Calls in hand while another client sends the largest body that the pages allow; see claim.txt."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import cw

LARGEST = 4 << 20        # `http_body`, mb(4) by default: over it a body is refused with 413
ORDINARY = 1 << 20
GIVE_UP = 5.0
CALLERS = 16             # on each wire
RUN_TIME = 2.0

SETTINGS = """
gateway(name = "gateway-1", zone = "block-a", listen = "127.0.0.1:0", http = "127.0.0.1:0", holders = 2)
call_class(name = "balance-check", aim = ms(600), give_up = s(5), effect = "safe")
call_class(name = "payment-post", aim = ms(600), give_up = s(5), effect = "unsafe")
fleet(gateways = 1, when_absent = "load")
worker(address = "%s", id = "w-1")
"""


def case(record, started):
    lock, ran, answered, lost = threading.Lock(), [], [], []

    def run(worker, run):
        record.write("%s: runs %s" % (worker.id, run["function"]))
        with lock:
            ran.append(run["function"])
        time.sleep(RUN_TIME)
        return cw.OK, b"done"

    def note(who, text, gone):
        record.write("%s: %s" % (who, text))
        with lock:
            (lost if gone else answered).append("%s: %s" % (who, text))

    def over_http(number, gateway, data, klass):
        who = "HTTP caller %d" % number
        http = cw.Http(gateway.http, GIVE_UP + 1)
        try:
            record.write("%s: asks, class %s, body of %d bytes" % (who, klass, len(data)))
            code, headers, _ = http.ask("POST", "/v1/functions/h-%d/invoke" % number, [("X-Class", klass)], data)
            note(who, "answer %d %s" % (code, headers.get("x-status", "")), False)
        except (EOFError, OSError) as error:
            note(who, "no answer: %s" % error, True)
        finally:
            http.close()

    def over_main(number, gateway):
        who = "caller %d of the main protocol" % number
        client = cw.Main(gateway.main, GIVE_UP + 1)
        try:
            record.write("%s: asks" % who)
            client.call(1, "m-%d" % number, "payment-post", b"amount=10")
            note(who, "answer %s" % client.answer()[1], False)
        except (EOFError, OSError) as error:
            note(who, "no answer: %s" % error, True)
        finally:
            client.close()

    worker = cw.Worker("w-1", run)
    gateway = cw.Gateway(SETTINGS % worker.address)
    started.append(gateway)
    time.sleep(0.5)
    threads = []
    for number in range(1, CALLERS + 1):
        threads.append(threading.Thread(target=over_http, args=(number, gateway, b"amount=10", "payment-post")))
        threads.append(threading.Thread(target=over_main, args=(number, gateway)))
    for thread in threads:
        thread.start()
        time.sleep(0.005)
    # All are in hand at the worker.
    end = time.time() + 3
    while len(ran) < 2 * CALLERS and time.time() < end and not answered:
        time.sleep(0.01)
    size = LARGEST if cw.TROUBLE else ORDINARY
    large = threading.Thread(target=over_http, args=(99, gateway, b"x" * size, "balance-check"))
    large.start()
    for thread in threads + [large]:
        thread.join(20)
    record.write("log of the gateway:\n" + gateway.logged())
    if len(answered) + len(lost) != 2 * CALLERS + 1:
        raise cw.CouldNotRun("a caller did not end")
    if not ran:
        raise cw.CouldNotRun("no call reached the worker")
    return lost


cw.play(HERE, case)
