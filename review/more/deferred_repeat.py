"""A deferred repeat of a call that waits for a silent worker; shown but no case; see REPORT.md."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import cw

WORKERS = 5
SILENT = "worker-a-3"           # one of five: 20%
SILENT_FOR = 8.0         # seconds; the page has 5 to 25
PATIENCE = 3.0           # a client's first try: 60% of the 5 s of its class; the page has 50 to 100%
CALLS = 20
POLL = 1.0               # seconds between two fetches
FETCH_FOR = 12.0         # seconds for which a client fetches; results are kept for 5 minutes

SETTINGS = """
gateway(name = "gateway-1", zone = "block-a", listen = "127.0.0.1:0", http = "127.0.0.1:0")
call_class(name = "balance-check", aim = ms(600), give_up = s(5), effect = "safe")
fleet(gateways = 1, when_absent = "load")
%s
"""


def case(record, started):
    state = {"silent_until": 0.0}
    lock, faults, ends = threading.Lock(), [], []

    def run(worker, run):
        silent = worker.id == SILENT and time.time() < state["silent_until"]
        record.write("%s: runs %s, attempt %d%s" % (
            worker.id, run["function"], run["before"] + 1, ", not answered" if silent else ""))
        if silent:
            return None
        time.sleep(0.02)
        return cw.OK, b"balance"

    def ask(gateway, patience, method, path, headers=(), data=b""):
        http = cw.Http(gateway.http, patience)
        try:
            return http.ask(method, path, headers, data)
        finally:
            http.close()

    def client(number, gateway):
        path = "/v1/functions/balance-%d/invoke" % number
        headers = [("X-Class", "balance-check"), ("Idempotency-Key", "balance-%d" % number)]
        record.write("client %d: asks, and waits for %.0f s" % (number, PATIENCE))
        try:
            code, answer, _ = ask(gateway, PATIENCE, "POST", path, headers, b"account=7")
            record.write("client %d: answer %d %s" % (number, code, answer.get("x-status")))
            return "answered"
        except (EOFError, OSError) as error:
            record.write("client %d: gives up: %s; repeats with the same key, deferred" % (number, error))
        code, answer, _ = ask(gateway, 3, "POST", path, headers + [("Prefer", "respond-async")], b"account=7")
        place = answer.get("location")
        record.write("client %d: answer %d, Location: %s" % (number, code, place))
        if code != 202:
            return "answered"
        end = time.time() + FETCH_FOR
        while time.time() < end:
            code, answer, _ = ask(gateway, 5, "GET", place)
            status = answer.get("x-status")
            record.write("client %d: fetch: %d %s" % (number, code, status))
            if status in ("served", "refused", "failed"):
                return "answered"
            if status != "pending":
                break
            time.sleep(POLL)
        with lock:
            faults.append("client %d: accepted as %s, and then: %d %s" % (number, place, code, status))
        return "lost"

    def run_client(number, gateway):
        try:
            end = client(number, gateway)
        except (EOFError, OSError) as error:
            record.write("client %d: %s" % (number, error))
            end = "unclear"
        with lock:
            ends.append(end)

    workers = [cw.Worker("worker-a-%d" % number, run) for number in range(1, WORKERS + 1)]
    lines = ['worker(address = "%s", id = "%s")' % (worker.address, worker.id) for worker in workers]
    gateway = cw.Gateway(SETTINGS % "\n".join(lines))
    started.append(gateway)
    time.sleep(0.3)
    if cw.TROUBLE:
        state["silent_until"] = time.time() + SILENT_FOR
        record.write("%s takes requests and answers none for %.0f s" % (SILENT, SILENT_FOR))
    threads = [threading.Thread(target=run_client, args=(number, gateway)) for number in range(1, CALLS + 1)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(60)
    if len(ends) != CALLS or "unclear" in ends:
        raise cw.CouldNotRun("a client did not end, or the gateway could not be reached")
    return faults


cw.play(HERE, case)
