"""Stand-ins of the users' platform on loopback: store, servers, clients, and
the project's own instances as separate processes.

Written after PROTOCOL.md and DEPLOY.md. Python's standard library only: python3
comes with libglib2.0-dev, which the deploy file lists. One asyncio loop, the
real clock. Each instance has an IP of its own (127.77.1.N) and a store address
of its own, so that the store can treat single machines differently.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
NET = os.environ.get("REVIEW_NET", "127.77")  # loopback addresses of this run
REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable", 410: "Gone",
           404: "Not Found", 429: "Too Many Requests", 400: "Bad Request"}

# Bounds of the small deployment (sites/sabar-glue.toml).
SETTINGS = {
    "Bounds": {"GracePeriodS": 8, "ConfigApplyMs": 2000, "DrainTimeoutMs": 2000,
               "LeaseTtlMs": 3000, "version_ms": 5000, "RetryBudgetRatio": 0.2,
               "BudgetWindowS": 10, "BudgetSlack": 52},
    "Limits": {"MemoryMb": 260, "MaxFds": 4200, "LinkMbps": 1000.0},
}


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.t0 = now()

    def line(self, *words):
        self.file.write("%9.3f  %s\n" % (now() - self.t0, " ".join(str(w) for w in words)))

    def close(self):
        self.file.close()


# -- HTTP/1.1 ---------------------------------------------------------------

async def read_head(reader):
    """Returns (first line, headers) or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        if ":" in text:
            name, value = text.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_answer(status, headers=(), body=b""):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "X"))
    head += "".join("%s: %s\r\n" % h for h in headers)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


# -- the platform's store ---------------------------------------------------

class Store:
    def __init__(self, world):
        self.world = world
        self.rows = {}       # (table, key) -> (value bytes or None, version)
        self.version = 0
        self.log = []        # (version, table, key)
        self.changed = asyncio.Event()
        self.denied = {}     # instance -> "busy" (503) | "silent"
        self.era = None
        self.floor = 0       # versions before are no longer known
        self.servers = []

    async def listen(self, instance, ip, port):
        async def serve(reader, writer):
            await self.serve(instance, reader, writer)
        self.servers.append(await asyncio.start_server(serve, ip, port))

    def put(self, table, key, value):
        self.version += 1
        self._set(table, key, value)
        self._wake()

    def put_json(self, table, key, value):
        self.put(table, key, None if value is None else json.dumps(value).encode())

    def _set(self, table, key, value):
        self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, table, key):
        return self.rows.get((table, key), (None, 0))

    def _row(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if value is None:
            row["Removed"] = True
        else:
            row["Value"] = base64.b64encode(value).decode()
        return row

    def _reply(self, status, body):
        body.update({"Ver": self.version, "NowMs": int(now() * 1000)})
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", str(self.era)))
        return make_answer(status, headers, json.dumps(body).encode())

    def copy(self):
        return dict(self.rows), self.version, list(self.log)

    def restore(self, copy):
        self.rows, self.version, self.log = dict(copy[0]), copy[1], list(copy[2])
        self.era = (self.era or 0) + 1
        self._wake()

    async def serve(self, instance, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                how = self.denied.get(instance)
                if how == "busy":
                    writer.write(make_answer(503))
                elif how == "silent":
                    await asyncio.sleep(3600)
                else:
                    await asyncio.sleep(0.004)
                    writer.write(await self.answer(instance, method, target, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, instance, method, target, body):
        path, _, query = target.partition("?")
        from urllib.parse import parse_qs
        args = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        if path == "/rows-tx":
            return self.transact(instance, json.loads(body))
        if path == "/rows-get":
            table = args["Table"]
            keys = sorted(k for (t, k), (v, _) in self.rows.items()
                          if t == table and v is not None and k >= args.get("From", "")
                          and ("To" not in args or k < args["To"]))
            limit = min(int(args.get("Limit", 500)), 500)
            rows = [self._row(table, k) for k in keys[:limit]]
            return self._reply(200, {"Rows": rows, "MorePages": len(keys) > limit})
        if path == "/rows-feed":
            after = int(args["after"])
            until = now() + int(args.get("WaitTimeoutMs", 0)) / 1000
            era = self.era
            while True:
                if after > self.version or after < self.floor or era != self.era:
                    return self._reply(410, {})
                keys = []
                for version, table, key in reversed(self.log):
                    if version <= after:
                        break
                    if table == args["Table"] and key not in keys:
                        keys.append(key)
                if keys or now() >= until:
                    rows = sorted((self._row(args["Table"], k) for k in keys),
                                  key=lambda r: r["Ver"])
                    return self._reply(200, {"Rows": rows})
                try:
                    await asyncio.wait_for(self.changed.wait(), max(until - now(), 0.001))
                except asyncio.TimeoutError:
                    pass
        return make_answer(404)

    def transact(self, instance, tx):
        for row in tx.get("Precondition", []):
            value, version = self.get(row["Table"], row["Key"])
            if (0 if value is None else version) != row["Ver"]:
                rows = [self._row(r["Table"], r["Key"]) for r in tx["Precondition"]
                        if (r["Table"], r["Key"]) in self.rows]
                return self._reply(412, {"Rows": [r for r in rows if "Value" in r]})
        self.version += 1
        for row in tx.get("Upserts", []):
            self._set(row["Table"], row["Key"], base64.b64decode(row["Value"]))
        for row in tx.get("Remove", []):
            self._set(row["Table"], row["Key"], None)
        self._wake()
        return self._reply(200, {})


# -- servers ----------------------------------------------------------------

class Server:
    """A server of a service. An engine holds adapters and streams events."""
    serial = 0

    def __init__(self, world, service, ip, engine=False, slots=32):
        self.world, self.service, self.engine, self.slots = world, service, engine, slots
        self.ip, self.port = ip, free_port(ip)
        self.zone = "ahm-a"
        self.writers = set()
        self.listener = None
        self.up = False
        self.first_ms, self.event_ms, self.events = 80, 30, 40
        self.work_ms = 60
        self.early_head = False  # sends the head of a stream before its first event
        self.poison = None       # text of a part that crashes it as it begins to answer
        self.headers = ()        # further headers of all answers
        self.back_s = 2.5
        self.silent = False      # its machine falls silent as it crashes, without resets
        self.state = "ready"
        self.last_beat = 0

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self, same_id=False):
        if not same_id or not hasattr(self, "id"):
            Server.serial += 1
            self.id = "i-%08x" % (Server.serial * 2654435761 % 2**32)
        self.born = int(time.time() * 1000)
        self.sequence, self.running, self.state = 0, 0, "ready"
        self.models = {}    # adapter name or "" (the model) -> (version, ready time)
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port,
                                                   reuse_address=True, reuse_port=True)
        self.up = True
        self.beat(True)
        self.world.record.line("server", self.id, self.service, "starts")

    def held(self):
        return sorted(k for k, (_, at) in self.models.items() if at <= now())

    def describe_models(self):
        held = self.held()
        if "" not in held:
            return []
        adapters = ["%s@%d" % (k, self.models[k][0]) for k in held if k]
        return [{"Name": "daka51", "Version": 1, "Adapters": adapters}]

    def beat(self, force=False):
        if not self.up or self.state == "unlisted":
            return
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": self.state,
                 "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}
        if self.engine:
            entry["Models"] = self.describe_models()
        text = json.dumps(entry)
        self.last_beat = now()
        if force or text != getattr(self, "listed", None):
            self.listed = text
            self.world.store.put_json("servers", self.id, entry)

    async def crash(self, back=True):
        if not self.up:
            return
        self.up = False
        self.world.record.line("server", self.id, "crashes, running", self.running)
        self.world.crashes.append(now())
        asyncio.get_running_loop().create_task(self._lapse(self.id))
        writers, silence = list(self.writers), self._begin_silence() if self.silent else []
        self.listener.close()
        self._fill(silence)
        if not self.silent:
            for writer in writers:
                writer.transport.abort()
        if back:
            await asyncio.sleep(self.back_s)
            for writer in writers:  # it knows none of its connections any more
                writer.transport.abort()
            for sock in silence:
                sock.close()
            await self.start()

    def _begin_silence(self):
        """Opens a listener that accepts nothing; open connections stay as they are."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((self.ip, self.port))
        sock.listen(0)
        return [sock]

    def _fill(self, silence):
        """Fills the queue of that listener: further connections get no answer."""
        for _ in range(8 if silence else 0):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.ip, self.port))
            silence.append(sock)

    async def _lapse(self, old):
        await asyncio.sleep(3.6)  # three heartbeat intervals of silence
        if self.id != old or not self.up:
            self.world.store.put("servers", old, None)

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writers.add(writer)
        try:
            while self.up:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if target == "/order":
                    writer.write(self.order(json.loads(body), head[1]))
                elif target == "/report":
                    writer.write(self.report())
                else:
                    await self.run(method, target, head[1], body, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def report(self):
        coming = ["daka51/%s@%d" % (k, v) for k, (v, at) in self.models.items()
                  if k and at > now()]
        return make_answer(200, [("Content-Type", "application/json")] + list(self.headers),
                           json.dumps({
            "Stage": "colocated", "Models": self.describe_models(),
            "Busy": "" in self.models and "" not in self.held(),
            "Sequence": self.sequence, "Queued": 0, "Running": self.running,
            "KvUsedTokens": 1000, "KvTotalTokens": 124714, "Handles": 0,
            "Coming": coming, "born": self.born}).encode())

    def order(self, order, headers):
        name = order.get("Adapter", "")
        self.world.record.line("server", self.id, "order", order["Operation"], name or "model",
                               "holder", order.get("HolderId"), "fence",
                               order.get("FencingToken"), "if", order.get("Precondition"),
                               "at", self.sequence)
        if headers.get("expect-instance", self.id) != self.id:
            return make_answer(421)
        self.world.orders.append((now(), self.id, order.get("HolderId"),
                                  order.get("FencingToken"), order["Operation"], name))
        if "HolderId" not in order or "FencingToken" not in order:
            return make_answer(400)
        if order["Operation"] == "load" and name in self.models:
            return make_answer(200 if name in self.held() else 202, self.headers)
        if order.get("Precondition", self.sequence) != self.sequence:
            return make_answer(409, self.headers)
        self.sequence += 1
        if order["Operation"] == "load":
            self.models[name] = (order.get("Version", 1), now() + (0.25 if name else 0.6))
            return make_answer(202, self.headers)
        self.models.pop(name, None)
        return make_answer(200, self.headers)

    async def run(self, method, target, headers, body, writer):
        rid = headers.get("request-id", "")
        base = [("Request-Id", rid)] + list(self.headers)
        self.world.arrived(self, rid, headers, target)
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(make_answer(421, base + [("Not-Executed", "1"), ("Instance-Id", self.id)]))
            return
        adapter = headers.get("model", "/").partition("/")[2] if self.engine else ""
        if self.engine and adapter not in self.held():
            writer.write(make_answer(421, base + [("Not-Executed", "1")]))
            return
        if self.running >= self.slots:
            writer.write(make_answer(503, base + [("Not-Executed", "1")]))
            return
        base += [("Response-Seal", "seal.%s" % rid),
                 ("Server-Load", "%d,0,%d,100" % (self.running + 1, self.slots)),
                 ("Keep-Alive", "timeout=5")]
        self.running += 1
        try:
            if self.engine:
                await self.stream(rid, headers, base, writer)
            else:
                self.world.ran(self, rid)
                await asyncio.sleep(self.work_ms / 1000)
                writer.write(make_answer(200, base, b"whole-%s" % rid.encode() + b"." * 700))
        finally:
            self.running -= 1

    async def stream(self, rid, headers, base, writer):
        head = ("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % h for h in base) +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        start = (self.id, self.born)
        if self.early_head:
            writer.write(head)
        await asyncio.sleep(self.first_ms / 1000)
        if not self.up or (self.id, self.born) != start:
            await asyncio.sleep(3600)
        self.world.ran(self, rid)
        if self.poison and any(p.split(":")[0] == self.poison for p in
                               headers.get("prompt-prefix", "").split(",")):
            # The process, or its machine, ends as it begins to write the answer.
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(3600)
        if not self.early_head:
            writer.write(head)
        first = int(headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, self.events + 1):
            while not self.up or (self.id, self.born) != start:
                await asyncio.sleep(3600)
            event = b"id: %d\ndata: %s-%d%s\n\n" % (number, rid.encode(), number, b"x" * 40)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_ms / 1000)
        writer.write(b"0\r\n\r\n")


# -- instances --------------------------------------------------------------

def look_up(fields, name):
    for key in name.split("."):
        fields = fields[key]
    return ",".join(map(str, fields)) if isinstance(fields, list) else str(fields)


class Instance:
    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = "front-ahm-a-%d" % number
        self.ip = NET + ".1.%d" % number
        self.front, self.ready = free_port(self.ip), free_port(self.ip)
        self.store_port = free_port(NET + ".0.1")
        self.peer_port = free_port(self.ip)
        self.process = None
        self.file = os.path.join(world.folder, self.name + ".ini")
        self.log = open(os.path.join(world.folder, self.name + ".log"), "ab")

    def write_settings(self):
        fields = dict(SETTINGS)
        fields.update({
            "NodeName": self.name, "Zone": "ahm-a", "Ip": self.ip,
            "InternalPorts": [self.peer_port, self.peer_port + 15],
            "Listen": {"Front": "%s:%d" % (self.ip, self.front),
                       "Ready": "%s:%d" % (self.ip, self.ready)},
            "Platform": {"Address": NET + ".0.1:%d" % self.store_port}})
        with open(os.path.join(ROOT, "platform", "instance.ini.template")) as source:
            text = re.sub(r"\{\{([A-Za-z_.]+)\}\}", lambda m: look_up(fields, m.group(1)),
                          source.read())
        with open(self.file, "w") as out:
            out.write(text)

    async def start(self):
        self.write_settings()
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "bin", "lacewingd"), "--settings", self.file,
            cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "LACEWINGLEAD_SETTINGS": self.file})
        self.world.record.line("instance", self.name, "starts, pid", self.process.pid)

    async def kill(self, sig=signal.SIGKILL, wait=True):
        self.world.record.line("instance", self.name, signal.Signals(sig).name)
        self.process.send_signal(sig)
        if wait:
            await self.process.wait()

    def ended_by_itself(self):
        return self.process.returncode is not None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


# -- the whole --------------------------------------------------------------

class World:
    def __init__(self, case):
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="lacewing-review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.store = Store(self)
        self.instances, self.servers = [], []
        self.crashes, self.orders = [], []
        self.runs = {}      # request id -> [(time, server id)]
        self.arrivals = []  # (time, server id, request id, parts)
        self.tasks = []
        self.next_id = 0

    def arrived(self, server, rid, headers, target):
        self.arrivals.append((now(), server.id, rid, headers.get("prompt-prefix", ""), target))
        self.record.line("server", server.id, "gets", rid, target,
                         headers.get("prompt-prefix", ""))

    def ran(self, server, rid):
        self.runs.setdefault(rid, []).append((now(), server.id))
        self.record.line("server", server.id, "begins", rid)

    def config(self, version, services=("huvo11a", "wuno96b"), routes=None, **more):
        routes = routes if routes is not None else self.default_routes()
        value = {"Version": version, "Routes": routes, "Services": [
            {"Name": services[0], "HealthPath": "/healthz", "MaxConnections": 230,
             "Protocol": "h1", "Tls": False,
             "InferenceEngine": {
                 "Slots": 32, "KvCapacityTokens": 124714, "KvTokenBytes": 163840,
                 "LinkMbps": 1100000.0, "Moves": True, "Backups": True, "Stride": 6, "Cap": 12,
                 "Models": [{"Name": "daka51", "WeightsSize": 42700.0, "LoadTimeS": 0.6,
                             "Adapters": 3000, "AdapterSizeMb": 66.0, "WarmupS": 0.44,
                             "DiskS": 0.57}],
                 "WeightsSize": 45000.0, "MaxAdapters": 22, "LoadsPerS": 6.2}},
            {"Name": services[1], "HealthPath": "/healthz", "MaxConnections": 96,
             "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        value.update(more)
        self.store.put_json("op", "config", value)

    @staticmethod
    def default_routes():
        def route(name, prefix, kind, service, timeout, target, **more):
            return dict({"Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind,
                         "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": 1,
                         "Service": service, "MaxAttempts": 1}, **more)
        return [route("r-chat", "/lohu930/", "streaming", "huvo11a", 12000, 600, Sticky=True,
                      Resumable=False, GapTargetMs=250),
                route("r-draft", "/pufi791/", "streaming", "huvo11a", 15000, 1000, Sticky=True,
                      Resumable=True, GapTargetMs=250, MaxAttempts=2),
                route("r-book", "/puxa403/", "unsafe", "wuno96b", 2000, 300),
                route("r-look", "/cufi504/", "safe", "wuno96b", 2000, 300, MaxAttempts=2)]

    async def start(self, instances, engines=0, plain=0):
        self.config(7)
        for n in range(engines):
            server = Server(self, "huvo11a", NET + ".2.%d" % (n + 1), engine=True)
            self.servers.append(server)
            await server.start()
            server.models[""] = (1, 0)
            server.beat(True)
        for n in range(plain):
            server = Server(self, "wuno96b", NET + ".3.%d" % (n + 1), slots=6)
            self.servers.append(server)
            await server.start()
        for n in range(instances):
            instance = Instance(self, n + 1)
            self.instances.append(instance)
            await self.store.listen(instance.name, NET + ".0.1", instance.store_port)
            await instance.start()
        self.tasks.append(asyncio.create_task(self._beats()))
        until = now() + 10
        while now() < until:
            if all([await i.is_ready() for i in self.instances]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the instances do not become ready")

    async def _beats(self):
        while True:
            await asyncio.sleep(0.2)
            for server in self.servers:
                if now() >= server.last_beat + 1.2:
                    server.beat()

    async def request(self, instance, method, target, headers=(), body=b"", timeout=12.0):
        """One client attempt on a connection of its own. Returns a dict: status (None: no
        answer), headers, body, whole, first_s, all_s."""
        self.next_id += 1
        rid = "%016x" % (0x9c41d07b00000000 + self.next_id)
        out = {"id": rid, "status": None, "headers": {}, "body": b"", "whole": False,
               "sent": now(), "first_s": None, "all_s": None, "instance": instance.name}
        self.record.line("client sends", rid, method, target, "to", instance.name,
                         " ".join("%s=%s" % h for h in headers))
        try:
            await asyncio.wait_for(self._exchange(instance, method, target, headers, body,
                                                  timeout, rid, out), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as ex:
            out["end"] = type(ex).__name__
        out["all_s"] = now() - out["sent"]
        self.record.line("client of", rid, "has", out["status"],
                         "whole" if out["whole"] else "broken: %s" % out.get("end"),
                         len(out["body"]), "bytes",
                         "retry-after %s" % out["headers"]["retry-after"]
                         if "retry-after" in out["headers"] else "")
        return out

    async def _exchange(self, instance, method, target, headers, body, timeout, rid, out):
        reader, writer = await asyncio.open_connection(instance.ip, instance.front)
        try:
            text = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
                method, target, HOST, rid, int(timeout * 1000))
            text += "".join("%s: %s\r\n" % h for h in headers)
            if method == "POST":
                text += "Content-Length: %d\r\n" % len(body)
            writer.write(text.encode() + b"\r\n" + body)
            head = await read_head(reader)
            if head is None:
                out["end"] = "closed"
                return
            out["status"] = int(head[0].split(" ")[1])
            out["headers"] = head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                while True:
                    line = await reader.readline()
                    if not line:
                        out["end"] = "closed in the body"
                        return
                    size = int(line, 16)
                    piece = await reader.readexactly(size + 2)
                    if out["first_s"] is None and size:
                        out["first_s"] = now() - out["sent"]
                    out["body"] += piece[:size]
                    if size == 0:
                        break
            else:
                out["body"] = await reader.readexactly(int(head[1].get("content-length", 0)))
            out["whole"] = True
        finally:
            writer.close()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        self.record.close()


def main(case, play):
    """Runs play(world), which returns 1 if the rule was broken, else 0; 2: could not run.
    The folder with the settings and logs is kept if KEEP is set."""
    async def run():
        world = World(case)
        task = asyncio.create_task(play(world))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        code = 2
        try:
            code = await asyncio.wait_for(task, 112)
        except (Exception, asyncio.CancelledError) as ex:
            print("the case could not run: %r" % ex)
        for instance in world.instances:
            if instance.process and instance.process.returncode not in (None, 0, -9):
                print(instance.name, "ended by itself:", instance.process.returncode)
        await world.stop()
        if os.environ.get("KEEP"):
            print("folder of the settings and logs:", world.folder)
        else:
            shutil.rmtree(world.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)
    asyncio.run(run())
