"""A small deployment on loopback for the review's scripts.

Starts the project's own dispatchers and agents as separate processes, with settings as the deploy templates give them,
beside stand-ins of the platform's store, of minions and of clients. The stand-ins follow PROTOCOL.md and run in this
process. Uses only Python's standard library.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

MAX_HOLD_MS = 10000
HEARTBEAT_MS = 1500
STOP_MS = 50
GANG_TIMEOUT_MS = 3000
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


TAKEN_PORTS = set()


def free_port():
    """A free port below those that the system gives to outgoing connections, so that none of them takes it."""
    while True:
        port = random.randrange(18000, 32000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class HttpServer:
    """Serves HTTP/1.1 with keep-alive. The handler gets (method, target, headers, body) and returns (status, object).

    It may return None: the connection ends without an answer.
    """

    def __init__(self, port, handler):
        self.port, self.handler = port, handler
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def crash(self):
        """The process is gone: nothing listens, and its connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if not asyncio.get_running_loop().is_closed():
                writer.transport.abort()


async def http(port, method, path, body=None, headers=None, timeout=3.0):
    """One request on a new connection. Returns (status, object); status 0 means that no answer came."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(text)}"]
            lines += [f"{k}: {v}" for k, v in {"Host": "127.0.0.1", **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            await writer.drain()
            data = await reader.read()
            head, _, rest = data.partition(b"\r\n\r\n")
            if not head:
                return 0, None
            status = int(head.split(b" ")[1])
            try:
                return status, json.loads(rest or b"null")
            except ValueError:
                return status, None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, None


class Store:
    """The platform's metadata store: linearizable, loses nothing that it has acknowledged."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.server = HttpServer(self.port, self.handle)
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.last_lease = 5, 0
        self.changed = asyncio.Event()

    async def open(self):
        await self.server.open()
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(dict(item))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def operator_writes(self, key, value):
        self.revision += 1
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        data = json.loads(body) if body else {}
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(args["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {"storeRevision": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(args["prefix"]) and k > args.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "/kv-watch":
            after, until = int(args["after"]), time.monotonic() + int(args["waitMs"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(args["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            return self.transact(data)
        if path == "/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [data["ttlMs"] / 1000, time.monotonic() + data["ttlMs"] / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": data["ttlMs"]}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttlMs": int(lease[0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def transact(self, data):
        expect = data.get("expect", [])
        revisions = {e["key"]: self.items.get(e["key"], {"revision": 0})["revision"] for e in expect}
        if any(revisions[e["key"]] != e["revision"] for e in expect):
            return 412, {"items": [self.items[e["key"]] for e in expect if e["key"] in self.items]}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in data.get("writes", [])):
            return 404, {}
        self.revision += 1
        for w in data.get("writes", []):
            self.put(w["key"], w["value"], w.get("lease", 0))
        for key in data.get("remove", []):
            self.remove(key)
        self.wake()
        return 200, {"revision": self.revision}


class Minion:
    """One machine's minion. `crash()` ends its process, `start()` starts it again with nothing known of before."""

    lives = 0

    def __init__(self, site, number, capacity=None, labels=("a",), control=None):
        self.site, self.number = site, number
        self.capacity = capacity or {"cpu": 16000, "memoryRequestMb": 64000, "gpu": 0}
        self.labels = list(labels)
        self.port, self.control = free_port(), control
        self.server = HttpServer(self.port, self.handle)
        self.up = False
        self.same_id = None
        self.delay = None
        self.lapses = []

    async def start(self):
        Minion.lives += 1
        self.id = self.same_id or f"i-{Minion.lives:08x}"
        self.born = int(time.time() * 1000)
        self.base = time.monotonic()
        self.token, self.deadline, self.last_end, self.sequence = 0, 0, 0, 0
        self.running, self.ended, self.highest, self.tasks = {}, [], {}, set()
        self.changed = asyncio.Event()
        self.state = "ready"
        self.up = True
        await self.server.open()
        self.site.record(f"minion {self.number} starts as {self.id}")
        life = self.born
        self.spawn(self.beat(life))
        self.spawn(self.watch_lease(life))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self):
        self.site.record(f"minion {self.number} crashes with {sorted(self.running)}")
        self.up = False
        self.server.crash()
        for name in list(self.running):
            self.site.run_over(self, name, self.running[name]["run"], "crash")
        self.running = {}
        for task in list(self.tasks):
            task.cancel()
        self.tasks = set()

    def clock(self):
        return int((time.monotonic() - self.base) * 1000) + 1

    async def beat(self, life):
        while self.up and self.born == life:
            self.sequence += 1
            body = {
                "service": "svc", "address": f"127.0.0.1:{self.port}", "zone": "z", "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock(), "sequence": self.sequence, "born": self.born, "machine": f"m-{self.number}",
            }
            self.spawn(http(self.control, "POST", f"/instances/{self.id}/heartbeat", body, timeout=1.0))
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self, life):
        held = False
        while self.up and self.born == life:
            await asyncio.sleep(0.01)
            lapsed = self.clock() >= self.deadline
            if held and lapsed:
                self.lapses.append(self.site.record.now())
                self.site.record(f"the lease of minion {self.number} lapses")
            held = not lapsed
            if self.running and lapsed:
                for name in list(self.running):
                    self.end(name, "lapsed")

    def end(self, name, how):
        run = self.running.pop(name)
        self.last_end += 1
        self.ended.append([self.last_end, name, run["run"], how, run["saved"]])
        self.site.run_over(self, name, run["run"], how)
        if run["timer"]:
            run["timer"].cancel()
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline):
        if deadline:
            self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, target, headers, body):
        data = json.loads(body) if body else {}
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        if self.delay:
            answer = await self.delay(target, data)
            if answer == "lost":
                return None
            if answer == "shed":
                return 503, {"clockMs": self.clock(), "born": self.born}
        return await self.carry_out(target, data)

    async def carry_out(self, target, data):
        answer = {"clockMs": self.clock(), "born": self.born}
        if data.get("fencingToken", 0) < self.token:
            return 409, {**answer, "reason": "fence"}
        self.token = data.get("fencingToken", 0)
        if target == "/hold":
            self.extend(data.get("deadlineMs", 0))
            self.ended = [e for e in self.ended if e[0] > data.get("lastSeen", 0)]
            until = time.monotonic() + min(2000, data.get("waitMs", 0)) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            rows = [[name, r["run"], r["saved"], 100, 0] for name, r in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}
        if target == "/run-start":
            return self.start_run(data, answer)
        if target == "/run-stop":
            name, run = data["task"], data["run"]
            self.highest[name] = max(self.highest.get(name, 0), run)
            if name in self.running and self.running[name]["run"] <= run and not self.running[name]["stopping"]:
                self.running[name]["stopping"] = True
                self.spawn(self.stop_run(name, self.running[name]["run"]))
            return 200, answer
        if target == "/pace":
            return 200, answer
        return 404, answer

    async def stop_run(self, name, run):
        await asyncio.sleep(STOP_MS / 1000)
        if name in self.running and self.running[name]["run"] == run:
            self.end(name, "stopped")

    def start_run(self, data, answer):
        name, run = data["task"], data["run"]
        self.extend(data.get("deadlineMs", 0))
        if name in self.running and self.running[name]["run"] == run:
            return 200, answer
        if run <= self.highest.get(name, 0) or name in self.running:
            return 409, {**answer, "reason": "old"}
        if self.deadline <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.highest[name] = max(self.highest.get(name, 0), run)
        entry = {"run": run, "saved": data.get("checkpoint", ""), "timer": None, "stopping": False, "data": data}
        self.running[name] = entry
        self.site.run_started(self, name, run, data)
        work = json.loads(data["specification"])
        if work.get("gang"):
            self.site.join_gang(self, name, run, work)
        elif work.get("flaky") and self.site.flaky:
            # The task fails by its own fault soon after its start, for as long as the site says so.
            loop = asyncio.get_running_loop()
            entry["timer"] = loop.call_later(work["flaky"] / 1000, self.finish, name, run, "failed")
        elif work.get("ms"):
            loop = asyncio.get_running_loop()
            entry["timer"] = loop.call_later(work["ms"] / 1000, self.finish, name, run, work.get("how", "done"))
        return 200, answer

    def finish(self, name, run, how):
        if self.up and name in self.running and self.running[name]["run"] == run:
            self.end(name, how)


class Site:
    def __init__(self, folder, dispatchers=2, minions=2, queues=None):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.processes, self.commands = {}, {}
        self.store = Store(self.record)
        self.minions = [Minion(self, n) for n in range(minions)]
        self.fronts = [f"front-{n}" for n in range(dispatchers)]
        self.callers = {}
        self.history = []
        self.open_runs = {}
        self.logs = {}
        self.gangs = {}
        self.flaky = False
        self.queues = queues or [
            {"name": "q", "host": "q.example", "prefix": "/q/", "kind": "unsafe", "timeoutMs": 3000,
             "targetLatencyMs": 1000, "priority": 0, "service": "svc", "maxAttempts": 4, "stretch": 2.0}
        ]

    # What the minions saw.
    def run_started(self, minion, name, run, data):
        entry = {"task": name, "run": run, "minion": minion.number, "from": self.record.now(), "to": None, "how": None,
                 "specification": data["specification"], "checkpoint": data.get("checkpoint", "")}
        self.history.append(entry)
        self.open_runs[(minion.number, name, run)] = entry
        self.record(f"minion {minion.number} runs {name} run {run}")

    def run_over(self, minion, name, run, how):
        entry = self.open_runs.pop((minion.number, name, run))
        entry["to"], entry["how"] = self.record.now(), how
        self.record(f"minion {minion.number} ends {name} run {run}: {how}")
        self.leave_gang(minion, name, run, how)

    # The members of a gang's run work from the moment when all are present, and end `done` together. When one ends
    # otherwise, the others end `broken`; those that wait too long for the others end `alone`.
    def join_gang(self, minion, name, run, work):
        key = (name.rsplit(".", 1)[0], run)
        gang = self.gangs.setdefault(key, {"members": {}, "timers": [], "over": False})
        gang["members"][name] = minion
        loop = asyncio.get_running_loop()
        if len(gang["members"]) == work["gang"] and not gang["over"]:
            for timer in gang["timers"]:
                timer.cancel()
            self.record(f"gang {key[0]} run {run} works")
            if work.get("ms"):
                gang["timers"] = [loop.call_later(work["ms"] / 1000, self.end_gang, key, "done")]
        else:
            gang["timers"].append(loop.call_later(GANG_TIMEOUT_MS / 1000, self.end_alone, key, name))

    def end_alone(self, key, name):
        minion = self.gangs[key]["members"].get(name)
        if minion and minion.up and name in minion.running and minion.running[name]["run"] == key[1]:
            minion.end(name, "alone")

    def end_gang(self, key, how):
        gang = self.gangs[key]
        gang["over"] = True
        for timer in gang["timers"]:
            timer.cancel()
        for name, minion in list(gang["members"].items()):
            if minion.up and name in minion.running and minion.running[name]["run"] == key[1]:
                minion.end(name, how)

    def leave_gang(self, minion, name, run, how):
        key = (name.rsplit(".", 1)[0], run)
        gang = self.gangs.get(key)
        if gang and not gang["over"] and how not in ("done", "broken", "alone"):
            gang["members"].pop(name, None)
            asyncio.get_running_loop().call_soon(self.end_gang, key, "broken")

    def runs_of(self, name):
        return [h for h in self.history if h["task"] == name or h["task"].startswith(name + ".")]

    # Processes of the project.
    def command(self, role):
        path = os.path.join(ROOT, "target", "bin", f"trefoilhoist-{role}")
        if not os.path.exists(path):
            raise FileNotFoundError(path)
        return path

    def add_process(self, name, role, settings):
        path = os.path.join(self.temporary, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.commands[name] = [self.command(role), "--settings", path]

    def start_process(self, name):
        log = self.logs.setdefault(name, open(os.path.join(self.temporary, name + ".log"), "ab"))
        self.processes[name] = subprocess.Popen(
            self.commands[name], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.temporary, "LANG": "C"})
        self.record(f"{name} starts")

    def signal(self, name, number):
        self.record(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_lines(self, name):
        with open(os.path.join(self.temporary, name + ".log"), "r", errors="replace", encoding="utf-8") as file:
            return file.read().splitlines()

    async def open(self):
        await self.store.open()
        services = [{"name": "svc", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
                     "enforcesCapacity": False, "spare": False}]
        self.store.operator_writes("op/config", {"version": 7, "routes": self.queues, "services": services,
                                                 "limits": {"maxBodyBytes": 262144}})
        for name in self.fronts:
            self.callers[name] = free_port()
            self.add_process(name, "dispatcher", {
                "id": name, "callers": f"127.0.0.1:{self.callers[name]}", "readiness": f"127.0.0.1:{free_port()}",
                "peers": f"127.0.0.1:{free_port()}", "metrics": f"127.0.0.1:{free_port()}",
                "store": f"127.0.0.1:{self.store.port}", "processorShare": 0.25, "linkMbps": 1000.0,
                "memoryMb": 260, "threads": 1, "workerLeaseMs": MAX_HOLD_MS})
            self.start_process(name)
        for minion in self.minions:
            minion.control = free_port()
            self.add_process(f"side-{minion.number}", "agent", {
                "id": f"side-{minion.number}", "heartbeats": f"127.0.0.1:{minion.control}",
                "peers": f"127.0.0.1:{free_port()}", "metrics": f"127.0.0.1:{free_port()}",
                "store": f"127.0.0.1:{self.store.port}", "memoryMb": 128, "threads": 1,
                "longestHoldMs": MAX_HOLD_MS})
            self.start_process(f"side-{minion.number}")
            await minion.start()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    # What the store shows of the owner: its record names the process.
    def owner(self):
        for key, item in self.store.items.items():
            if item["lease"]:
                value = base64.b64decode(item["value"])
                for name in self.fronts:
                    if name.encode() in value:
                        return name
        return None

    # Clients.
    async def call(self, method, path, body=None, front=None, timeout=3.0, quiet=False, host="q.example"):
        front = front or self.fronts[0]
        headers = {"Host": host, "X-Deadline-Milliseconds": str(int(timeout * 1000)), "Content-Type": "application/json"}
        status, answer = await http(self.callers[front], method, path, body, headers, timeout)
        if not quiet:
            self.record(f"client {method} {path} at {front}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, job, steps, work, fronts=None, seconds=20, **more):
        """Hands a job in as a client does: the same request again, at any node, until it is accepted."""
        body = {"specification": json.dumps(work), "steps": steps, **more}
        until = self.record.now() + seconds
        fronts = fronts or self.fronts
        n = 0
        while self.record.now() < until:
            status, _ = await self.call("POST", f"/q/{job}", body, fronts[n % len(fronts)])
            if 200 <= status < 300:
                return True
            n += 1
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, front=None, quiet=False):
        status, answer = await self.call("GET", f"/q/{job}", front=front, quiet=quiet)
        return status, (answer or {}).get("state") if isinstance(answer, dict) else None

    async def wait_for(self, condition, seconds, step=0.02):
        until = self.record.now() + seconds
        while self.record.now() < until:
            if condition():
                return True
            await asyncio.sleep(step)
        return False


def run(main, folder):
    """Runs `main(site_factory)` and ends the process with its verdict: 0 held, 1 broken, 2 could not run."""
    sites = []

    def make(**options):
        site = Site(folder, **options)
        sites.append(site)
        return site

    async def guarded():
        try:
            return await asyncio.wait_for(main(make), 112)
        finally:
            for site in sites:
                site.store.server.crash()
                for minion in site.minions:
                    minion.server.crash()
            await asyncio.sleep(0.1)

    try:
        verdict = asyncio.run(guarded())
    except Exception as error:  # pylint: disable=broad-except
        for site in sites:
            site.record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        verdict = 2
    for site in sites:
        site.close()
    raise SystemExit(verdict)
