"""What the cases share: the gateway as a process, stand-in workers, small clients of HTTP and of the main protocol.

Formats follow docs/PROTOCOL.md. Every address is 127.0.0.1 with a port that the system chooses.
"""
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "release", "cresswheel")
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case couldn't be played: nothing is said about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.time()
        self.write("TROUBLE=%d" % TROUBLE)

    def now(self):
        return time.time() - self.start

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


# --- frames of the main protocol -------------------------------------------------------------------------------

HELLO, BYE, PROBE, PROBED, CALL, ACCEPTED, ANSWER, RUN, RAN, HOLD, HOLDING = 1, 2, 4, 5, 10, 11, 12, 20, 21, 23, 24
OK, FULL = 0, 2
STATUS = ["served", "refused", "failed", "pending", "unknown", "expired"]
MAX_FRAME = 4 << 20


def frame(kind, payload):
    return struct.pack(">IBB", len(payload) + 2, 1, kind) + payload


def name(text):
    data = text.encode()
    return struct.pack(">H", len(data)) + data


def body(data):
    return struct.pack(">I", len(data)) + data


class Fields:
    def __init__(self, data):
        self.data, self.at = data, 0

    def number(self, form):
        value = struct.unpack_from(">" + form, self.data, self.at)[0]
        self.at += struct.calcsize(">" + form)
        return value

    def take(self, count):
        value = self.data[self.at:self.at + count]
        self.at += count
        return value

    def name(self):
        return self.take(self.number("H")).decode()

    def body(self):
        return self.take(self.number("I"))


def receive(connection, count):
    data = bytearray()
    while len(data) < count:
        part = connection.recv(min(count - len(data), 1 << 20))
        if not part:
            raise EOFError("the connection ended")
        data += part
    return bytes(data)


def read_frame(connection):
    length, _, kind = struct.unpack(">IBB", receive(connection, 6))
    return kind, receive(connection, length - 2)


# --- workers ---------------------------------------------------------------------------------------------------

class Worker:
    """A worker: hands each run to `run(worker, run)`, which returns (ending, body), or None for no answer.

    It answers each Run and Hold once and closes on a frame that is too long, as docs/PROTOCOL.md says.
    """

    def __init__(self, id, run):
        self.id, self.run = id, run
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        lock = threading.Lock()

        def send(data):
            with lock:
                try:
                    connection.sendall(data)
                except OSError:
                    pass

        def work(run):
            end = self.run(self, run)
            if end is not None:
                send(frame(RAN, struct.pack(">QBI", run["attempt"], end[0], 0) + body(end[1])))

        try:
            while True:
                length, _, kind = struct.unpack(">IBB", receive(connection, 6))
                if length + 4 > MAX_FRAME:
                    send(frame(BYE, name("a frame that is too long")))
                    break
                fields = Fields(receive(connection, length - 2))
                if kind == RUN:
                    run = {"attempt": fields.number("Q"), "trace": fields.name(), "before": fields.number("I"),
                           "function": fields.name(), "class": fields.name(), "key": fields.name()}
                    # Time left and shape.
                    fields.take(8 + 24)
                    run["body"] = fields.body()
                    threading.Thread(target=work, args=(run,), daemon=True).start()
                elif kind == HOLD:
                    send(frame(HOLDING, struct.pack(">QBI", fields.number("Q"), OK, 1)))
                elif kind == PROBE:
                    send(frame(PROBED, struct.pack(">QII", fields.number("Q"), 0, 0)))
        except (EOFError, OSError):
            pass
        finally:
            connection.close()


# --- the gateway -----------------------------------------------------------------------------------------------

class Gateway:
    """`cresswheel gateway FILE`, the program that the build of the deploy file makes, started from the root."""

    def __init__(self, script):
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CouldNotRun("%s is missing: run the build of deploy/balancer.toml" % PROGRAM)
        self.folder = tempfile.mkdtemp(prefix="cresswheel-review-")
        settings = os.path.join(self.folder, "gateway.star")
        with open(settings, "w") as file:
            file.write(script)
        self.log = os.path.join(self.folder, "log.txt")
        self.process = subprocess.Popen([PROGRAM, "--log-file", self.log, "gateway", settings], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)
        line = self.process.stdout.readline().decode().split()
        if line[:1] != ["ready"]:
            self.stop()
            raise CouldNotRun("the gateway did not start")
        addresses = dict(part.split("=") for part in line[1:])
        self.main, self.http = (self.pair(addresses.get(wire)) for wire in ("main", "http"))

    @staticmethod
    def pair(text):
        host, port = text.rsplit(":", 1)
        return host, int(port)

    def logged(self):
        try:
            with open(self.log) as file:
                return file.read()
        except OSError:
            return ""

    def stop(self):
        """TERM, and KILL if that does not end it. Processes that hold connections end with the gateway."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(8)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- clients ---------------------------------------------------------------------------------------------------

class Http:
    """One HTTP/1.1 connection."""

    def __init__(self, address, patience):
        self.connection = socket.create_connection(address, timeout=patience)

    def ask(self, method, path, headers=(), data=b""):
        """The code, the headers and the body; EOFError or OSError if the connection ends before the whole answer."""
        head = "%s %s HTTP/1.1\r\nHost: gateway\r\nContent-Length: %d\r\n" % (method, path, len(data))
        head += "".join("%s: %s\r\n" % header for header in headers) + "\r\n"
        self.connection.sendall(head.encode() + data)
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            buffer += self.more()
        head, rest = buffer.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        headers = dict((part.strip() for part in line.split(":", 1)) for line in lines[1:])
        headers = {key.lower(): value for key, value in headers.items()}
        while len(rest) < int(headers.get("content-length", "0")):
            rest += self.more()
        return int(lines[0].split()[1]), headers, rest

    def more(self):
        part = self.connection.recv(65536)
        if not part:
            raise EOFError("the connection ended without a whole answer")
        return part

    def close(self):
        self.connection.close()


class Main:
    """One connection of the main protocol."""

    def __init__(self, address, patience):
        self.connection = socket.create_connection(address, timeout=patience)
        self.connection.sendall(frame(HELLO, bytes([1]) + name("client") + name("")))

    def call(self, number, function, klass, data):
        payload = struct.pack(">QB", number, 0) + name(function) + name(klass) + name("") + name("") + name("")
        payload += struct.pack(">Q", 0) + struct.pack(">IIQQ", 0, 0, 0, 0) + body(data)
        self.connection.sendall(frame(CALL, payload))

    def answer(self):
        """The number and status of the next answer; EOFError or OSError if the connection ends before."""
        while True:
            kind, payload = read_frame(self.connection)
            fields = Fields(payload)
            if kind == PROBE:
                self.connection.sendall(frame(PROBED, struct.pack(">QII", fields.number("Q"), 0, 0)))
            elif kind == ANSWER:
                number = fields.number("Q")
                return number, STATUS[fields.number("B")]
            elif kind == BYE:
                raise EOFError("the gateway said bye: " + fields.name())

    def close(self):
        self.connection.close()


def play(folder, case):
    """Plays `case(record, started)`: it returns what broke, as lines. `started` is a list of what to stop."""
    record, started, code = Record(folder), [], COULD_NOT_RUN
    for ending in (signal.SIGTERM, signal.SIGINT):
        signal.signal(ending, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        faults = case(record, started)
        code = BROKEN if faults else HELD
        for fault in faults:
            record.write("BROKEN: " + fault)
            print(fault)
        record.write("the rule was broken" if faults else "the rule held")
        print("the rule was broken" if faults else "the rule held")
    except CouldNotRun as error:
        record.write("could not run: %s" % error)
        print("could not run: %s" % error)
    finally:
        for process in started:
            process.stop()
    # Threads of stand-ins may still wait on sockets.
    sys.stdout.flush()
    os._exit(code)
