"""Stand-ins for the second review: clients, hosts and a directory as the operators' protocol page describes them,
and the gateway as its deploy file starts it. Loopback addresses and the real clock only."""

import asyncio
import json
import logging
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
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SERVED, REFUSED, FAILED = 0, 8, 13
NAMES = {0: "served", 8: "refused", 13: "failed"}


def now():
    return time.time()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def hex16():
    return "%016x" % random.getrandbits(64)


logging.getLogger("asyncio").setLevel(logging.CRITICAL)
STARTED = []
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: nothing is said of the rule."""


class Lateness:
    """The most that this process itself was late by."""

    def __init__(self):
        self.most = 0.0

    async def watch(self):
        while True:
            at = now()
            await asyncio.sleep(0.005)
            self.most = max(self.most, now() - at - 0.005)


def main(case, folder, limit=115):
    """Plays `case(record)`, a coroutine that returns what broke the rule, as a list of lines. Exits with 1 if the
    rule was broken, 0 if it held, 2 if the case could not run; ends all that was started."""
    record = Record(folder)
    record.say("trouble: %s" % ("yes" if TROUBLE else "no"))

    def end_all():
        for started in list(STARTED):
            started.end()

    def out_of_time():
        record.say("could not run: over %d s" % limit)
        end_all()
        os._exit(2)

    timer = threading.Timer(limit, out_of_time)
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        broken = asyncio.run(case(record))
        for line in broken[:200]:
            record.say("BROKEN " + line)
        code = 1 if broken else 0
        record.say("%d times broken" % len(broken) if broken else "the rule held")
        print("%s: %s" % (os.path.basename(folder), "%d times broken, such as: %s" % (len(broken), broken[0])
                          if broken else "the rule held"))
    except (CannotRun, OSError, RuntimeError) as error:
        record.say("could not run: %r" % error)
        print("%s: could not run: %r" % (os.path.basename(folder), error))
    finally:
        end_all()
    timer.cancel()
    sys.exit(code)


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = now()

    def say(self, text):
        self.file.write("%9.3f %s\n" % (now() - self.start, text))


# --- the gateway ---------------------------------------------------------------------------------------------

class Gateway:
    def __init__(self, config, record, log=None):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.config, self.record = config, record
        self.path = os.path.join(self.folder, "config.json")
        self.process, self.log = None, log or os.path.join(self.folder, "log.txt")

    def write(self):
        part = self.path + ".part"
        with open(part, "w") as f:
            json.dump(self.config, f)
        os.replace(part, self.path)

    def start(self, stderr=None, more=None):
        self.write()
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = re.search(r'^run = "(.*)"$', f.read(), re.M).group(1)
        env = dict(os.environ, NODE_CONFIG=self.path, NODE_NAME=self.config["name"],
                   NODE_LISTEN=self.config["listen"], TMPDIR=self.folder, **(more or {}))
        out = stderr if stderr is not None else open(self.log, "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=out, stderr=out,
                                        start_new_session=True)
        STARTED.append(self)
        self.record.say("gateway %s starts, process %d" % (self.config["name"], self.process.pid))

    def signal(self, which):
        self.record.say("gateway %s gets %s" % (self.config["name"], which.name))
        self.process.send_signal(which)

    def alive(self):
        return self.process.poll() is None

    def end(self):
        if self.process and self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(name, port, names, hosts, classes, settings=None, limits=None, pos=1):
    base = {
        "balancers": 1, "me": 0, "tick": 2000, "tier": 0, "zone": "east", "zones": ["east"],
        "kinds": ["std"], "discovery": "automatic", "customers": [],
        "limits": {"cancel": True, "connect_timeout": 250000, "idle_close": 15000000, "max_attempts": 5,
                   "max_open": 20000, "max_retry_after": 2000000, "max_streams": 100, "may_duplicate": False,
                   "peer_messages": True, "probes": True, "retry_after": True},
        "profiles": classes,
        "reporting": {"fields": ["backlog"], "via": "pull"},
        "rules": {"answer_slack": 8000, "ask_within": 10000000, "cold_from": 0.15, "drain_grace": 1000000,
                  "fall": 3000000, "tip_multiple": 2.0, "warm_up": 18000000},
        "specifics": {"counts_alike": True, "idle_price": 0.1, "keep_alive": 9900000, "kind_memory_mb": 16000,
                      "load_span": 0, "load_wait": 10000000, "loads_anyway": 0.0, "loads_per_request": 0.0,
                      "may_load": True, "says_warm": False, "when_absent": "load"},
    }
    for path, value in (settings or {}).items():
        at = base
        *way, last = path.split(".")
        for part in way:
            at = at[part]
        at[last] = value
    return {"name": name, "listen": "127.0.0.1:%d" % port, "seed": "%016x" % random.getrandbits(64),
            "limits": dict({"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **(limits or {})),
            "names": "127.0.0.1:%d" % names,
            "known": {"pos": pos, "entries": [{"pos": pos, "hosts": {"revision": 1, "complete": True,
                                                                     "members": [h.member() for h in hosts]}}]},
            "settings": base}


def profile(name, semantics="idempotent", aim=600000, give_up=5000000, value=1.0, **more):
    return dict({"name": name, "aim": aim, "give_up": give_up, "semantics": semantics, "value": value,
                 "late_value": 0.2, "key_scope": "all", "memory_span": 5000000, "streamed": False}, **more)


# --- the directory -------------------------------------------------------------------------------------------

def dns_name(text):
    return b"".join(bytes([len(p)]) + p.encode() for p in text.split(".")) + b"\0"


def dns_record(name, kind, data):
    return dns_name(name) + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


class Directory(asyncio.DatagramProtocol):
    """Answers with the whole list. `told` has, for each host, when an answer with a state was first sent."""

    def __init__(self, record, pos=1):
        self.record, self.pos, self.hosts = record, pos, []
        self.silent = False
        self.delay = 0.0
        self.change = lambda reply: [(0.0, reply)]
        self.told = {}
        self.questions = 0

    async def open(self, port=0):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", port))
        self.port = self.transport.get_extra_info("sockname")[1]
        return self

    def event(self, hosts=None):
        if hosts is not None:
            self.hosts = list(hosts)
        self.pos += 1
        self.record.say("directory: event %d: %s" % (self.pos, ", ".join(
            "%s %s" % (h.id, h.phase) for h in self.hosts)))

    def answer(self, ident, question):
        answers, more = [], []
        for h in self.hosts:
            if h.phase == "Gone":
                continue
            target = "%s.%s.hosts" % (h.id, h.zone)
            answers.append(dns_record("_data._tcp.farm.lan", 33, struct.pack(
                ">HHH", 0 if h.phase == "Ready" else 1, 40, h.port) + dns_name(target)))
            more.append(dns_record(target, 1, socket.inet_aton(h.address)))
            text = [b"kind=" + h.kind.encode(), b"cell=%d" % h.cell, b"started=%d" % h.started_ms]
            more.append(dns_record(target, 16, b"".join(bytes([len(t)]) + t for t in text)))
        soa = dns_name("ns.farm.lan") + dns_name("op.farm.lan") + struct.pack(">IIIII", self.pos, 1, 1, 1, 1)
        head = struct.pack(">HHHHHH", ident, 0x8400, 1, len(answers), 1, len(more))
        return head + question + b"".join(answers) + dns_record("farm.lan", 6, soa) + b"".join(more)

    def datagram_received(self, data, peer):
        self.questions += 1
        if self.silent:
            return
        reply = self.answer(struct.unpack(">H", data[:2])[0], data[12:])
        for delay, part in self.change(reply):
            if delay > 0:
                asyncio.get_running_loop().call_later(delay, self.send, part, peer)
            else:
                self.send(part, peer)

    def send(self, reply, peer):
        for h in self.hosts:
            self.told.setdefault((h.id, h.phase), now())
        if not self.transport.is_closing():
            self.transport.sendto(reply, peer)

    def close(self):
        self.transport.close()


# --- hosts ---------------------------------------------------------------------------------------------------

class Host:
    """A host. `behave(host, request)` is a coroutine that answers; the default serves after `work` seconds."""

    def __init__(self, ident, record, zone="east", cell=1, kind="std", started_ms=0, work=0.02):
        self.id, self.record, self.zone, self.cell, self.kind = ident, record, zone, cell, kind
        self.started_ms, self.work, self.phase, self.address = started_ms, work, "Ready", "127.0.0.1"
        self.behave = None
        self.invokes, self.aborts, self.orders, self.evicts, self.probes = [], [], [], [], []
        self.writers, self.closed = set(), {}

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def member(self):
        return {"id": self.id, "host_port": "%s:%d" % (self.address, self.port), "locality": self.zone,
                "flavor": self.kind, "cell": self.cell, "phase": self.phase, "size": 4,
                "up_since_ms": self.started_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                parts = []
                first = None
                for _ in range(int(line[1:])):
                    size = await reader.readuntil(b"\r\n")
                    first = first or now()
                    parts.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
                await self.command(parts, writer, now())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed[writer] = now()
            self.writers.discard(writer)
            writer.close()

    async def command(self, parts, writer, at):
        word = parts[0].decode()
        fields = {}
        if len(parts) > 2:
            fields = dict(f.split("=", 1) for f in parts[2].decode().split(",") if "=" in f)
        if word == "invoke":
            request = {"id": parts[1].decode(), "fields": fields, "body": parts[3], "at": at, "host": self.id,
                       "writer": writer}
            self.invokes.append(request)
            self.record.say("%s runs %s %s patience=%s" % (self.id, request["id"], fields.get("sort"),
                                                           fields.get("patience")))
            asyncio.ensure_future(self.run(request))
        elif word == "abort":
            self.aborts.append((parts[1].decode(), at))
        elif word == "prewarm":
            self.orders.append({"asset": fields["asset"], "instances": int(fields["instances"]), "at": at})
            self.record.say("%s is ordered to hold %s" % (self.id, fields))
            asyncio.ensure_future(self.load(parts[1].decode(), fields, writer))
        elif word == "evict":
            self.evicts.append((parts[1].decode(), at))
        elif word in ("alive", "gauges"):
            self.probes.append(at)
            self.reply(writer, parts[1].decode(), "UP" if self.phase == "Ready" else "DOWN")

    async def run(self, request):
        if self.behave:
            return await self.behave(self, request)
        await asyncio.sleep(self.work)
        self.reply(request["writer"], request["id"], "OK", "-", b"ran:" + request["body"])

    async def load(self, tag, fields, writer):
        await asyncio.sleep(0.05)
        self.reply(writer, tag, "OK", "instances=%s" % fields["instances"])

    def reply(self, writer, ident, word, fields="-", body=b""):
        if writer.is_closing():
            return
        parts = [ident.encode(), word.encode(), fields.encode(), body]
        writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts))

    def close(self):
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()


# --- clients -------------------------------------------------------------------------------------------------

def frame(kind, stream, payload=b""):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def fields(pairs):
    out = bytes([len(pairs)])
    for n, v in pairs.items():
        out += bytes([len(n)]) + n.encode() + struct.pack("<H", len(v)) + v.encode()
    return out


def request(stream, cls, ident, wait_ms, key, body=b"", **more):
    pairs = {"class": cls, "id": ident, "wait": str(wait_ms), "key": key}
    pairs.update(more)
    return frame(100, stream, fields(pairs) + body)


def parse_fields(payload):
    count, at, out = payload[0], 1, {}
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1:at + 1 + size].decode()
        at += 1 + size
        size = struct.unpack("<H", payload[at:at + 2])[0]
        out[name] = payload[at + 2:at + 2 + size].decode()
        at += 2 + size
    return out, payload[at:]


class Client:
    """One connection. `answers` maps a stream to a list of (code, fields, body, time)."""

    def __init__(self):
        self.answers, self.ready, self.leaving, self.ended = {}, None, None, None
        self.waiters = {}
        self.stream = 0

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.opened = now()
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                head = await self.reader.readexactly(9)
                length, kind, stream = struct.unpack("<IBI", head)
                payload = await self.reader.readexactly(length - 5)
                if kind == 101:
                    more, body = parse_fields(payload[1:])
                    self.answers.setdefault(stream, []).append((payload[0], more, body, now()))
                    waiter = self.waiters.get(stream)
                    if waiter and not waiter.done():
                        waiter.set_result(None)
                elif kind == 111:
                    self.ready = payload[0]
                    waiter = self.waiters.get("ready")
                    if waiter and not waiter.done():
                        waiter.set_result(None)
                elif kind == 120:
                    self.leaving = now()
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            self.ended = (now(), type(error).__name__)
        finally:
            self.ended = self.ended or (now(), "closed")
            for waiter in self.waiters.values():
                if not waiter.done():
                    waiter.set_result(None)

    def send(self, cls, wait_ms, key, body=b"", ident=None, **more):
        self.stream += 1
        self.waiters[self.stream] = asyncio.get_running_loop().create_future()
        self.writer.write(request(self.stream, cls, ident or hex16(), wait_ms, key, body, **more))
        return self.stream

    async def answer(self, stream, within):
        """The first answer, or None if none came in time or the connection ended."""
        try:
            await asyncio.wait_for(asyncio.shield(self.waiters[stream]), within)
        except asyncio.TimeoutError:
            pass
        return (self.answers.get(stream) or [None])[0]

    async def is_ready(self):
        self.waiters["ready"] = asyncio.get_running_loop().create_future()
        self.writer.write(frame(110, 1 << 30, b"\0"))
        try:
            await asyncio.wait_for(self.waiters["ready"], 1)
        except asyncio.TimeoutError:
            return False
        return self.ready == 0

    def close(self):
        self.task.cancel()
        self.writer.close()


async def wait_ready(gateway, port, within=10):
    until = now() + within
    while now() < until:
        if not gateway.alive():
            raise RuntimeError("the gateway ended at its start")
        try:
            client = await Client().connect(port)
            try:
                if await client.is_ready():
                    gateway.record.say("gateway %s is ready" % gateway.config["name"])
                    return
            finally:
                client.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError("the gateway is not ready")


# --- cresswheel gateway: the main protocol and HTTP ------------------------------------------------------------

def name16(text):
    data = text.encode()
    return struct.pack(">H", len(data)) + data


def body32(data):
    return struct.pack(">I", len(data)) + data


def main_frame(kind, payload):
    return struct.pack(">IBB", len(payload) + 2, 1, kind) + payload


class Fields:
    def __init__(self, data):
        self.data, self.at = data, 0

    def number(self, form):
        size = struct.calcsize(form)
        self.at += size
        return struct.unpack(form, self.data[self.at - size:self.at])[0]

    def text(self):
        size = self.number(">H")
        self.at += size
        return self.data[self.at - size:self.at].decode()

    def body(self):
        size = self.number(">I")
        self.at += size
        return self.data[self.at - size:self.at]


class Worker:
    """A worker on the main protocol: it has every function loaded and answers after `work` seconds."""

    def __init__(self, record, work=0.02):
        self.record, self.work, self.runs, self.writers = record, work, [], set()
        self.behave = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                length, _, kind = struct.unpack(">IBB", await reader.readexactly(6))
                f = Fields(await reader.readexactly(length - 2))
                if kind == 20:
                    run = {"attempt": f.number(">Q"), "trace": f.text(), "before": f.number(">I"),
                           "function": f.text(), "class": f.text(), "key": f.text(), "left": f.number(">Q"),
                           "shape": f.number(">I") + f.number(">I") + f.number(">Q") + f.number(">Q"),
                           "body": f.body(), "at": now(), "writer": writer}
                    self.runs.append(run)
                    self.record.say("worker runs %s class=%s key=%s body=%r" % (
                        run["function"], run["class"], run["key"], run["body"][:80]))
                    asyncio.ensure_future(self.run(run))
                elif kind == 23:
                    order = f.number(">Q")
                    f.text()
                    writer.write(main_frame(24, struct.pack(">QBI", order, 0, f.number(">I"))))
                elif kind == 4:
                    writer.write(main_frame(5, struct.pack(">QII", f.number(">Q"), 0, 0)))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, run):
        if self.behave:
            return await self.behave(self, run)
        await asyncio.sleep(self.work)
        self.ran(run, 0, b"ran:" + run["body"][:1000])

    def ran(self, run, ending, body=b""):
        if not run["writer"].is_closing():
            run["writer"].write(main_frame(21, struct.pack(">QBI", run["attempt"], ending, 0) + body32(body)))

    def close(self):
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()


class MainGateway(Gateway):
    """`cresswheel gateway` with a settings script."""

    def __init__(self, script, record, log=None):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.script, self.record, self.process = script, record, None
        self.path, self.log = os.path.join(self.folder, "gateway.star"), log or os.path.join(self.folder, "log.txt")
        self.config = {"name": "gateway-1"}

    def write(self):
        with open(self.path, "w") as f:
            f.write(self.script)

    def start(self, stderr=None):
        self.write()
        out = stderr if stderr is not None else open(self.log, "a")
        self.process = subprocess.Popen([os.path.join(ROOT, "target/release/cresswheel"), "gateway", self.path],
                                        cwd=ROOT, stdout=subprocess.PIPE, stderr=out, start_new_session=True)
        STARTED.append(self)
        words = self.process.stdout.readline().decode().split()
        if not words or words[0] != "ready":
            raise RuntimeError("the gateway did not start: %r" % words)
        self.at = dict(w.split("=", 1) for w in words[1:])
        self.record.say("gateway starts, process %d, %s" % (self.process.pid, " ".join(words)))


def http_request(method, path, headers, body=b"", length=True):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: gateway"] + ["%s: %s" % h for h in headers]
    if length:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def http_response(reader):
    """Status, headers and body of one response; None if the connection ended before it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = dict((n.strip().lower(), v.strip()) for n, v in (h.split(":", 1) for h in head[1:] if ":" in h))
        return int(head[0].split()[1]), headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class ListService:
    """A worker list on the main protocol: whoever follows it gets the whole list, then its changes."""

    def __init__(self, name, record, version, entries):
        self.name, self.record, self.version, self.entries = name, record, version, dict(entries)
        self.followers = set()
        self.told = {}

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def message(self, whole, ids):
        out = struct.pack(">BQI", whole, self.version, len(ids))
        for ident in ids:
            port, zone, standing, started = self.entries[ident]
            out += name16(ident) + name16("127.0.0.1:%d" % port) + name16(zone) + name16("std")
            out += struct.pack(">QBQ", 0, standing, started)
        return main_frame(31, out)

    async def serve(self, reader, writer):
        try:
            while True:
                length, _, kind = struct.unpack(">IBB", await reader.readexactly(6))
                await reader.readexactly(length - 2)
                if kind == 30:
                    self.followers.add(writer)
                    self.send(writer, True, list(self.entries))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.followers.discard(writer)
            writer.close()

    def send(self, writer, whole, ids):
        if writer.is_closing():
            return
        writer.write(self.message(whole, ids))
        words = ", ".join("%s %s" % (i, ("in service", "draining", "out")[self.entries[i][2]]) for i in ids)
        self.record.say("list service %s tells %s, version %d: %s" % (
            self.name, "the whole list" if whole else "a change", self.version, words))
        for ident in ids:
            self.told.setdefault((ident, self.entries[ident][2]), now())

    def change(self, ident, standing):
        port, zone, _, started = self.entries[ident]
        self.version += 1
        self.entries[ident] = (port, zone, standing, started)
        for writer in list(self.followers):
            self.send(writer, False, [ident])

    def close(self):
        self.record.say("list service %s ends" % self.name)
        self.server.close()
        for writer in list(self.followers):
            writer.transport.abort()
