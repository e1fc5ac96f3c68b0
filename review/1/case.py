"""A release of most functions at once, at a gateway of the platform; see claim.txt.

One process plays the clients, the hosts and the directory, as the platform's pages describe them. The gateway is started by
the `run` line of deploy/balancer.toml.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

HOSTS = 4
CORES = 4                  # of a host
WORK = 0.05                # seconds of a request, in the mean
LOAD = (1.2, 2.0)          # seconds of a load; the page: 1.2 to 2 s
LOADS_AT_ONCE = 3          # of a host; the page: 3 to 6
KEEP = 10.0                # seconds for which an idle copy stays; the page: 9.9 to 14 s
FUNCTIONS = 180
RATE = 100.0               # requests a second; the page: up to 170 at a gateway
CONNECTIONS = 30           # of clients; the page: a third of 256 descriptors at most
WAIT = 5.0                 # seconds for which a client waits
RAMP = 40.0                # the functions come into use one by one over this time
RELEASE_AT = 46.0
RELEASED = 0.9             # the page: 31 to 95% of the functions
END = 60.0
LATE = 0.5 + 0.05          # an answer later than this after the client's time is lost
OWN_LAG = 0.2              # this process was too late itself

SETTINGS = {
    "balancers": 1, "tick": 2000,
    "limits": {"max_attempts": 5, "max_open": 20000, "connect_timeout": 250000, "idle_close": 15000000, "max_streams": 4,
               "probes": True, "cancel": True, "retry_after": True, "max_retry_after": 2000000},
    "rules": {"drain_grace": 1000000},
    "specifics": {"when_absent": "miss", "may_load": True, "keep_alive": 10000000, "load_wait": 10000000,
                  "counts_alike": True},
    "profiles": [
        {"name": "balance-check", "aim": 600000, "give_up": 5000000, "semantics": "idempotent", "value": 2.0},
        {"name": "payment-post", "aim": 600000, "give_up": 5000000, "semantics": "at_most_once", "value": 3.0}]}

draw = random.Random(1)
start = time.time()
lines = []


def record(text):
    lines.append("%8.3f  %s" % (time.time() - start, text))


class CouldNotRun(Exception):
    pass


# --- hosts: RESP commands in, answers out ------------------------------------------------------------------------

def resp(parts):
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Copy:
    """A loaded copy of a function, or one that is being loaded."""

    def __init__(self, load):
        self.load, self.used, self.running = load, time.time(), 0

    def is_idle(self):
        return self.load.done() and self.running == 0


class Host:
    def __init__(self, number):
        self.id, self.zone, self.cell = "s-%08x" % (number * 2654435761 % 2 ** 32), "block-a", number // 2
        self.copies = {}

    async def listen(self):
        self.cores, self.loads = asyncio.Semaphore(CORES), asyncio.Semaphore(LOADS_AT_ONCE)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1000)
        self.port = self.server.sockets[0].getsockname()[1]

    def copy_of(self, function):
        copy = self.copies.get(function)
        if copy and copy.is_idle() and time.time() - copy.used > KEEP:
            del self.copies[function]
            copy = None
        return copy

    async def load(self):
        async with self.loads:
            await asyncio.sleep(draw.uniform(*LOAD))

    async def invoke(self, say, id, fields):
        copy = self.copy_of(fields["asset"])
        if copy is None:
            record("%s: %s MISS" % (self.id, id))
            return say(id, "MISS")
        copy.running += 1
        await asyncio.shield(copy.load)
        async with self.cores:
            await asyncio.sleep(draw.expovariate(1 / WORK))
        copy.running -= 1
        copy.used = time.time()
        record("%s: %s ran" % (self.id, id))
        say(id, "OK", "rivals=0", b"done")

    async def prewarm(self, say, tag, fields):
        copy = self.copy_of(fields["asset"])
        if copy is None:
            copy = self.copies[fields["asset"]] = Copy(asyncio.ensure_future(self.load()))
        await asyncio.shield(copy.load)
        copy.used = time.time()
        record("%s: order %s for %s stands" % (self.id, tag, fields["asset"]))
        say(tag, "OK", "instances=1")

    async def serve(self, reader, writer):
        def say(id, word, fields="-", body=b""):
            if not writer.is_closing():
                writer.write(resp([id.encode(), word.encode(), fields.encode(), body]))

        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                parts = []
                for _ in range(int(line[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append(await reader.readexactly(size))
                    await reader.readexactly(2)
                words = [part.decode() for part in parts[:3]]
                fields = dict(field.split("=") for field in words[2].split(",")) if len(words) > 2 else {}
                if words[0] == "invoke":
                    asyncio.ensure_future(self.invoke(say, words[1], fields))
                elif words[0] == "prewarm":
                    asyncio.ensure_future(self.prewarm(say, words[1], fields))
                elif words[0] == "alive":
                    say(words[1], "UP")
                elif words[0] == "evict":
                    copy = self.copies.get(words[1])
                    if copy and copy.is_idle():
                        del self.copies[words[1]]
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def release(self, functions):
        """A new version of these: all loaded copies go void, those at work end."""
        for function in functions:
            copy = self.copies.get(function)
            if copy and copy.load.done():
                del self.copies[function]


# --- the directory: DNS over UDP ---------------------------------------------------------------------------------

def dns_name(text):
    return b"".join(bytes([len(label)]) + label for label in text.encode().split(b".")) + b"\0"


class DirectoryPeer(asyncio.DatagramProtocol):
    def __init__(self, hosts):
        self.hosts = hosts

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, query, sender):
        service = dns_name("_data._tcp.farm.lan")
        answers, more = b"", b""

        def entry(owner, kind, data):
            return owner + struct.pack(">HHIH", kind, 1, 1, len(data)) + data

        for host in self.hosts:
            target = dns_name("%s.%s.hosts" % (host.id, host.zone))
            answers += entry(service, 33, struct.pack(">HHH", 0, 40, host.port) + target)
            more += entry(target, 1, bytes([127, 0, 0, 1]))
            texts = [b"kind=std", b"cell=%d" % host.cell, b"started=0"]
            more += entry(target, 16, b"".join(bytes([len(text)]) + text for text in texts))
        soa = dns_name("ns.farm.lan") + dns_name("op.farm.lan") + struct.pack(">IIIII", 1, 1, 1, 1, 1)
        head = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(self.hosts), 1, 2 * len(self.hosts))
        question = service + struct.pack(">HH", 33, 1)
        self.transport.sendto(head + question + answers + entry(dns_name("farm.lan"), 6, soa) + more, sender)


# --- clients -----------------------------------------------------------------------------------------------------

def frame(kind, stream, payload):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


class Request:
    def __init__(self, id, klass):
        self.id, self.klass, self.sent, self.code, self.answered, self.ended = id, klass, time.time(), None, None, None


class Client:
    """One connection, opened when something is to be sent on it."""

    def __init__(self):
        self.writer, self.open, self.stream = None, {}, 0

    async def ask(self, port, function, asked):
        if self.writer is None:
            reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
            self.stream = 0
            asyncio.ensure_future(self.read(reader, self.writer, self.open))
        self.stream += 1
        request = Request("%016x" % draw.getrandbits(64), draw.choice(["balance-check", "balance-check", "payment-post"]))
        fields = {"class": request.klass, "id": request.id, "wait": "%d" % (WAIT * 1000), "key": function,
                  "spec": "memory_mb:512;lanes:4;load_ms:1600"}
        payload = bytes([len(fields)])
        for name, value in fields.items():
            payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value.encode()
        self.open[self.stream] = request
        asked.append(request)
        record("client: %s asks for %s, %s" % (request.id, function, request.klass))
        self.writer.write(frame(100, self.stream, payload + b"account=7"))

    async def read(self, reader, writer, open_requests):
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await reader.readexactly(9))
                payload = await reader.readexactly(length - 5)
                request = open_requests.pop(stream, None) if kind == 101 else None
                if request:
                    request.code, request.answered = payload[0], time.time()
                    record("client: %s answered %d after %.3f s" % (request.id, payload[0], request.answered - request.sent))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        for request in open_requests.values():
            request.ended = time.time()
        if self.writer is writer:
            self.writer, self.open = None, {}
        writer.close()


# --- the case ----------------------------------------------------------------------------------------------------

def run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


async def play(folder, state):
    hosts = [Host(number) for number in range(HOSTS)]
    for host in hosts:
        await host.listen()
    loop = asyncio.get_running_loop()
    directory, _ = await loop.create_datagram_endpoint(lambda: DirectoryPeer(hosts), local_addr=("127.0.0.1", 0))
    port = free_port()
    members = [{"id": host.id, "host_port": "127.0.0.1:%d" % host.port, "locality": host.zone, "flavor": "std",
                "cell": host.cell, "phase": "Ready", "up_since_ms": 0} for host in hosts]
    config = {"name": "n0", "listen": "127.0.0.1:%d" % port, "seed": "01",
              "names": "127.0.0.1:%d" % directory.get_extra_info("sockname")[1],
              "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
              "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"revision": 1, "complete": True, "members": members}}]},
              "settings": SETTINGS}
    path = os.path.join(folder, "config.json")
    with open(path, "w") as file:
        json.dump(config, file)
    if not os.access(os.path.join(ROOT, "target", "release", "cresswheel"), os.X_OK):
        raise CouldNotRun("the program is missing: run the build of deploy/balancer.toml")
    environment = dict(os.environ, NODE_NAME="n0", NODE_LISTEN=config["listen"], NODE_CONFIG=path, TMPDIR=folder)
    state["log"] = os.path.join(folder, "log.txt")
    with open(state["log"], "w") as log:
        state["gateway"] = gateway = subprocess.Popen(["/bin/sh", "-c", run_line()], cwd=ROOT, env=environment,
                                                      stdin=subprocess.DEVNULL, stdout=log, stderr=log)
    for _ in range(100):
        await asyncio.sleep(0.1)
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            break
        except OSError:
            if gateway.poll() is not None:
                raise CouldNotRun("the gateway did not start")
    lag, asked, functions = [0.0], [], ["%016x" % (0xabc0000 + number) for number in range(FUNCTIONS)]

    async def watch():
        while True:
            before = time.time()
            await asyncio.sleep(0.01)
            lag[0] = max(lag[0], time.time() - before - 0.01)

    async def release():
        await asyncio.sleep(RELEASE_AT)
        chosen = [function for function in functions if draw.random() < RELEASED]
        record("RELEASE of %d of %d functions" % (len(chosen), FUNCTIONS))
        for host in hosts:
            host.release(chosen)

    tasks = [asyncio.ensure_future(watch())] + ([asyncio.ensure_future(release())] if TROUBLE else [])
    clients = [Client() for _ in range(CONNECTIONS)]
    began = following = time.time()
    while time.time() - began < END:
        following += draw.expovariate(RATE)
        if following > time.time():
            await asyncio.sleep(following - time.time())
        used = max(1, min(FUNCTIONS, int(FUNCTIONS * (time.time() - began) / RAMP)))
        client = draw.choice(clients)
        if len(client.open) < 32:
            await client.ask(port, draw.choice(functions[:used]), asked)
    await asyncio.sleep(WAIT + 6)
    for task in tasks:
        task.cancel()
    if gateway.poll() is not None:
        return ["the gateway ended by itself with %d" % gateway.returncode]
    record("this process was late by %.3f s at most; asked %d, served %d, refused %d, failed %d" % (
        lag[0], len(asked), *(sum(request.code == code for request in asked) for code in (0, 8, 13))))
    if lag[0] > OWN_LAG:
        raise CouldNotRun("this machine is too busy: the test's own process was late by %.3f s" % lag[0])
    if not any(request.code == 0 for request in asked):
        raise CouldNotRun("nothing was served")
    faults = []
    for request in asked:
        if request.answered is None and not (request.ended and request.ended - request.sent < 0.05):
            faults.append("%s (%s): never answered" % (request.id, request.klass))
        elif request.answered and request.answered - request.sent > WAIT + LATE:
            late = request.answered - request.sent - WAIT
            faults.append("%s (%s): answered %.3f s after the client's time" % (request.id, request.klass, late))
    return faults


def main():
    for ending in (signal.SIGTERM, signal.SIGINT):
        signal.signal(ending, lambda *_: sys.exit(COULD_NOT_RUN))
    folder, state, code = tempfile.mkdtemp(prefix="cresswheel-review-"), {}, COULD_NOT_RUN
    record("TROUBLE=%d" % TROUBLE)
    try:
        faults = asyncio.run(play(folder, state))
        code = BROKEN if faults else HELD
        for fault in faults:
            record("BROKEN: " + fault)
        print("\n".join(faults[:5] + ["%d requests lost" % len(faults)] if faults else ["the rule held"]))
    except CouldNotRun as error:
        record("could not run: %s" % error)
        print("could not run: %s" % error)
    finally:
        gateway = state.get("gateway")
        if gateway:
            gateway.terminate()
            try:
                gateway.wait(8)
            except subprocess.TimeoutExpired:
                gateway.kill()
                gateway.wait()
        if state.get("log"):
            with open(state["log"]) as file:
                lines.append("log of the gateway:\n" + file.read())
        with open(os.path.join(HERE, "record.txt"), "w") as file:
            file.write("\n".join(lines) + "\n")
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


main()
