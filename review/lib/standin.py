"""Stand-ins of the platform, its store, servers and requesters, as the users' pages describe them.

Everything runs on loopback addresses and the real clock. One event loop holds all stand-ins; the
project's own program runs as a separate process, started with the command and the template of
`deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case couldn't be played; this says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_ip():
    return "127.%d.%d.%d" % (random.randint(10, 250), random.randint(1, 250), random.randint(2, 250))


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# ---------------------------------------------------------------- record


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def line(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{time.monotonic() - self.began:9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP/1.1


class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_head(reader):
    """Reads a message's head; None where the channel ends before it begins."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    if message.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(message.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response(status, headers=None, body=b""):
    reason = {200: "OK", 202: "Accepted", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "x")
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{k}: {v}" for k, v in (headers or {}).items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- the platform's store


class Store:
    """The log service: 4 ms an answer, reads share 80 MB/s, a read returns at most 1,024 KB."""

    ANSWER_S = 0.004
    READ_BYTES_PER_S = 80e6
    MAX_READ_BYTES = 1024 * 1024

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.read_free_at = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def put(self, topic, key, value):
        """Appends a record; returns the time of its confirmation."""
        await asyncio.sleep(self.ANSWER_S)
        value = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        if len(value) + len(key) + 1 > 262144:
            raise CouldNotRun("a record is longer than the store takes")
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()
        return time.monotonic()

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                path, _, query = message.target.partition("?")
                fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, body = await self.answer(path, fields, message.body)
                await asyncio.sleep(self.ANSWER_S)
                now = time.monotonic()
                self.read_free_at = max(self.read_free_at, now) + len(body) / self.READ_BYTES_PER_S
                await asyncio.sleep(self.read_free_at - now)
                writer.write(response(status, {}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, fields, body):
        topic = fields.get("Topic", "")
        if path == "/log-newest":
            return 200, self.newest(topic)
        if path == "/log-read":
            return 200, await self.read(topic, int(fields["From"]), int(fields.get("WaitMs", 0)) / 1000)
        if path == "/log-append":
            (length,) = struct.unpack(">I", body[:4])
            content = body[4:4 + length]
            key = content[1:1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0]:])
            end = len(self.topics[topic])
            return 200, json.dumps({"Offset": end - 1, "End": end}).encode()
        return 404, b""

    def newest(self, topic):
        records = self.topics.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
                 for k, (v, o) in newest.items() if v]
        return json.dumps({"Items": items, "HasMore": False, "End": len(records)}).encode()

    async def read(self, topic, start, wait_s):
        records = self.topics.setdefault(topic, [])
        if len(records) <= start and wait_s:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(records) > start), wait_s)
                except asyncio.TimeoutError:
                    pass
        out = struct.pack(">QQ", len(records), 0)
        size = 0
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if size and size + 4 + len(content) > self.MAX_READ_BYTES:
                break
            size += 4 + len(content)
            out += struct.pack(">I", len(content)) + content
        return out


# ---------------------------------------------------------------- a path that can be cut


class Path:
    """A TCP proxy. While it is cut, nothing passes, new channels included, and nothing is reset.
    Channels that were open when it was cut stay silent for good."""

    def __init__(self, target):
        self.target, self.cut = target, False
        self.writers = set()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    def set_cut(self, cut):
        self.cut = cut

    async def serve(self, reader, writer):
        if self.cut:
            # A connection attempt that nobody answers.
            self.writers.add(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        except asyncio.CancelledError:
            pass

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.cut:
                    self.writers.add(writer)
                    return
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            writer.transport.abort()


# ---------------------------------------------------------------- servers


class Server:
    """A server of a plain service. `work(server, message, writer)` may replace its answer."""

    def __init__(self, record, name, service, zone, slots=6, work_s=0.005, work=None, born=None):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s, self.work = slots, work_s, work
        self.born = born or int(time.time() * 1000)
        self.runs = []
        self.orders = []
        self.writers = set()
        # Leaves no channel that the other side has closed in TIME_WAIT, which `owner_of` would read.
        self.forgets_channels = False

    async def start(self, address=("127.0.0.1", 0)):
        self.server = await asyncio.start_server(self.serve, *address, limit=4 << 20)
        self.address = self.server.sockets[0].getsockname()
        return self

    def entry(self, **more):
        entry = {"Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": "ready", "WarmupLeftMs": 0,
                 "Sequence": 0, "born": self.born}
        return entry | more

    async def crash(self):
        """The process ends: open channels are reset, and new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def seal(self, message):
        return {"Trefoilhall-Attempt-Id": message.get("trefoilhall-attempt-id", "-"),
                "Trefoilhall-Response-Seal": f"seal.{self.name}"}

    def ran(self, message, **more):
        run = {"at": time.monotonic(), "id": message.get("trefoilhall-attempt-id"),
               "tenant": message.get("trefoilhall-tenant"), "target": message.target,
               "server": self.name} | more
        self.runs.append(run)
        self.record.line("run", server=self.name, id=run["id"], tenant=run["tenant"], **more)
        return run

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                expected = message.get("trefoilhall-expect-instance")
                if expected not in (None, self.name):
                    writer.write(response(421, {"Trefoilhall-Instance-Id": self.name}))
                elif message.get("trefoilhall-attempt-id") is None and message.target != "/order":
                    writer.write(response(400, {"Trefoilhall-Not-Executed": "1"}))
                elif self.work is not None:
                    await self.work(self, message, writer)
                else:
                    self.ran(message)
                    await asyncio.sleep(self.work_s)
                    writer.write(response(200, self.seal(message), b"x" * 800))
                await writer.drain()
            if self.forgets_channels and not writer.is_closing():
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def owner_of(writer, machines):
    """The machine of this test at the other end of a server's channel. Both ends are compared: two
    machines may use the same local port at once."""
    def end(address):
        return f"{int.from_bytes(socket.inet_aton(address[0]), 'little'):08X}:{address[1]:04X}"

    theirs, ours = end(writer.get_extra_info("peername")), end(writer.get_extra_info("sockname"))
    with open("/proc/net/tcp") as f:
        lines = [line.split() for line in f.readlines()[1:]]
    inodes = {line[9] for line in lines if line[1] == theirs and line[2] == ours}
    for machine in machines:
        folder = f"/proc/{machine.process.pid}/fd"
        try:
            fds = os.listdir(folder)
        except OSError:
            continue
        for fd in fds:
            try:
                link = os.readlink(f"{folder}/{fd}")
            except OSError:
                continue
            if link.startswith("socket:[") and link[8:-1] in inodes:
                return machine
    return None


# ---------------------------------------------------------------- requesters


class Requester:
    """Keeps a channel open for many requests, and opens a new one where it was closed."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def send(self, method, target, attempt, key=None, deadline_ms=1500, headers=None, body=b"",
                   host="ficu95.example"):
        """Returns the time at which the request was sent, and the answer or None."""
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(*self.address, limit=4 << 20)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
                 f"Trefoilhall-Attempt-Id: {attempt}", f"Trefoilhall-Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"Api-Key: {key}")
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sent = time.monotonic()
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer = await asyncio.wait_for(self.receive(), deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return sent, None
        if answer is None or answer.get("connection", "").lower() == "close":
            self.close()
        return sent, answer

    async def receive(self):
        reader = self.reader
        answer = await read_head(reader)
        if answer is not None:
            answer.body = await read_body(reader, answer)
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


# ---------------------------------------------------------------- the project's own program


class Machine:
    """A machine that runs the role of `deploy/system.toml`, with settings from its template."""

    def __init__(self, folder, name, zone, store, zones, seeds=None, ip=None, ports=None):
        self.folder, self.name, self.zone = folder, name, zone
        self.ip = ip or loopback_ip()
        self.ports = ports or {k: free_port(self.ip) for k in ("Frontend", "Ready", "Control", "Link")}
        self.store, self.zones, self.seeds = store, zones, seeds
        self.process = None

    @property
    def frontend(self):
        return self.ip, self.ports["Frontend"]

    def fields(self):
        at = lambda name: f"{self.ip}:{self.ports[name]}"
        return {
            "NodeName": self.name, "Zone": self.zone, "Ip": self.ip,
            "Zones": self.zones,
            "ListenAddrs": {k: at(k) for k in ("Frontend", "Ready", "Control")},
            "PortRange": [self.ports["Link"], self.ports["Link"] + 15],
            "Seeds": self.seeds if self.seeds is not None else [at("Control")],
            "Provider": {"Address": "%s:%d" % self.store},
            "Bounds": {"RevokeMs": 5000, "DrainMs": 2000, "GraceS": 8, "RetryBudgetRatio": 0.2,
                       "RetryWindowS": 10, "BudgetSlack": 104},
        }

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            (role,) = tomllib.load(f)["roles"].values()
        with open(os.path.join(ROOT, role["template"])) as f:
            settings = render(f.read(), self.fields())
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w") as f:
            f.write(settings)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= {name: path for name in role["env"]} | {"TREFOILHALL_SETTINGS": path}
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        return self

    def log_text(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), errors="replace") as f:
            return f.read()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["Ready"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} wasn't ready in time:\n{self.log_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def render(text, fields):
    """The platform's template, as far as the role's file uses it."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def value(name, scope):
        at = scope
        for part in name.split("."):
            if isinstance(at, list):
                at = at[int(part)]
            elif isinstance(at, dict) and part in at:
                at = at[part]
            else:
                return None
        return at

    def sections(match):
        found = value(match[1], fields)
        if found is None:
            return ""
        entries = found if isinstance(found, list) else [found]
        out = ""
        for index, entry in enumerate(entries):
            comma = "," if index + 1 < len(entries) else ""
            out += match[2].replace("{{.}}", str(entry)).replace("{{,}}", comma)
        return out

    def plain(match):
        name, _, form = match[1].partition("|")
        found = value(name, fields)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.|]+)\}\}", plain, section.sub(sections, text))


# ---------------------------------------------------------------- configuration


KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "wofa112": "anfqasnmgkcuyj8pjbvk"}

ENGINE = {"Slots": 16, "KvCapacityTokens": 450000, "KvTokenBytes": 327680, "LinkMbps": 400000.0,
          "Stride": 46, "Models": [{"Name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483,
          "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
          "report_lag_ms": 200.0, "usual": {"prompt": 13199, "answer": 1541}, "HopMs": 0.1}


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": 800, "GoalMs": 300, "Priority": 2, "Service": service, "MaxAttempts": 2,
            "Public": False, "Sticky": False} | more


def plain_routes():
    return [route("r-look", "/cufi504/", "idempotent", "wuno96b"),
            route("r-hold", "/puxa403/", "non_idempotent", "wuno96b", MaxAttempts=1)]


def configuration(version, routes, keys=None, services=None, limits=None):
    tenants = [{"Name": name, "ApiKeys": [key], "Priority": 1}
               for name, key in (KEYS if keys is None else keys).items()]
    return {"Version": version, "Routes": routes,
            "Services": services or [{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 51,
                                      "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000} | (limits or {}),
            "Tenants": tenants}


def more_routes(count):
    """Routes that a configuration grows by."""
    return [route(f"r-more{i:05d}", f"/more{i:05d}/", "idempotent", "wuno96b") for i in range(count)]


# ---------------------------------------------------------------- running a case


def main(case, limit_s=115):
    """Plays `case(record, folder, machines)`, which returns HELD or BROKEN, and exits with that."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(here)
    folder = tempfile.mkdtemp(prefix="case-")
    machines = []

    async def play():
        try:
            return await asyncio.wait_for(case(record, folder, machines), limit_s)
        finally:
            for machine in machines:
                await machine.end()

    try:
        outcome = asyncio.run(play())
    except (CouldNotRun, asyncio.TimeoutError, OSError):
        traceback.print_exc()
        outcome = COULD_NOT_RUN
    except Exception:
        traceback.print_exc()
        outcome = COULD_NOT_RUN
    record.line("outcome", exit=outcome)
    record.close()
    if os.environ.get("KEEP_LOGS"):
        print("logs in", folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(outcome)
