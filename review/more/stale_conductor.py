"""Entry 32, shown but no case: the conductor of a plan that was rolled back goes on with another plan. See REPORT.md.

It conducts plan 1 (version 7 to 8), stands still for under 4 s (docs/SOAK.md: "SIGSTOP for 0.05 to 4 s"), and meanwhile an operator
rolls plan 1 back and gives plan 2 (7 to 9) with `--no-watch` ("Only give the order; `versions watch` conducts"). Nobody conducts
plan 2. With TROUBLE=0 the conductor does not stand still, sees the rollback and ends.
"""
import os
import signal
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import cw

GATEWAY = """
gateway(name = "gateway-%d", listen = "127.0.0.1:0", http = "127.0.0.1:0", state = "%s")
call_class(name = "charge-estimate", aim = ms(1200), give_up = s(5), effect = "safe")
fleet(gateways = 2, when_absent = "load")
versions(open = True)
worker(address = "%s", id = "worker-a-1")
"""
PLAN = """
shift(function = "arrears", old = "7", new = "%s", lease = s(20))
step(share = percent(10), hold = s(%d))
step(share = percent(100), hold = s(%d))
guard(classes = ["charge-estimate"], least = 5)
"""


class Process:
    def __init__(self, process):
        self.process = process

    def stop(self):
        self.process.kill()
        self.process.wait()


def case(record, started):
    worker = cw.Worker("worker-a-1", lambda worker, run: (cw.OK, b"done"))
    folder = os.path.join(os.environ.get("TMPDIR", "/tmp"), "cresswheel-review-%d" % os.getpid())
    gateways = []
    for number in (1, 2):
        gateways.append(cw.Gateway(GATEWAY % (number, "%s/state-%d" % (folder, number), worker.address)))
        started.append(gateways[-1])

    def plan(version, hold):
        path = "%s/plan-%s.star" % (folder, version)
        with open(path, "w") as file:
            file.write(PLAN % (version, hold, hold))
        return path

    with open(folder + "/gateways.txt", "w") as file:
        file.writelines("127.0.0.1:%d\n" % gateway.main[1] for gateway in gateways)

    def command(*words):
        return [os.path.join(cw.ROOT, cw.PROGRAM), "versions", *words, "--gateways", folder + "/gateways.txt"]

    def order(*words):
        done = subprocess.run(command(*words), stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
        record.write("versions %s: exit %d\n%s" % (" ".join(words), done.returncode, done.stdout))
        return done.stdout

    over = threading.Event()

    def load(gateway):
        while not over.is_set():
            try:
                http = cw.Http(gateway.http, 5)
                http.ask("POST", "/v1/functions/arrears/invoke", [("X-Class", "charge-estimate")], b"x")
                http.close()
            except (EOFError, OSError):
                pass
            time.sleep(0.02)

    for gateway in gateways:
        threading.Thread(target=load, args=(gateway,), daemon=True).start()
    with open(folder + "/conductor.txt", "w") as out:
        conductor = subprocess.Popen(command("start", plan("8", 30)), stdout=out, stderr=out)
    started.append(Process(conductor))
    time.sleep(3)
    if cw.TROUBLE:
        conductor.send_signal(signal.SIGSTOP)
    order("rollback", "arrears", "--why", "answers go wrong")
    if not cw.TROUBLE:
        time.sleep(2)
    order("start", plan("9", 3), "--no-watch", "--why", "by hand")
    time.sleep(1)
    if cw.TROUBLE:
        conductor.send_signal(signal.SIGCONT)
    time.sleep(12)
    history = order("history", "arrears")
    over.set()
    return [line for line in history.splitlines() if "arrears@9" in line and "by plan" in line]


cw.play(HERE, case)
