"""A site of real processes on loopback, for the demo and the measuring scripts."""
import json
import os
import re
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DEFAULT_BIN = os.path.join(ROOT, "build", "bin")
READY_LIMIT_S = 30
LOG_LINES = 8
TICKS = os.sysconf("SC_CLK_TCK")


def readSite(path):
    with open(path, encoding="utf-8") as file:
        return json.loads(re.sub(r"^\s*//.*$", "", file.read(), flags=re.M))


class Site:
    """The site's processes; stopped in reverse order of their start."""

    def __init__(self, folder, binaries):
        self.folder = folder
        self.binaries = binaries
        self.processes = []

    def start(self, program, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        process = subprocess.Popen(
            [self.program(program), "--settings", path], stdout=subprocess.PIPE, stderr=log, text=True)
        self.processes.append((name, process))
        line = process.stdout.readline()
        if not line.startswith("ready "):
            raise SystemExit(f"{name} did not start; see {log.name}")
        return dict(word.split("=", 1) for word in line.split() if "=" in word)

    def program(self, name):
        return os.path.join(self.binaries, name)

    def run(self, program, *arguments):
        subprocess.run([self.program(program), *arguments], check=True)

    def reportDead(self):
        """Prints the last log lines of every process that ended by itself."""
        for name, process in self.processes:
            if process.poll() is not None:
                with open(os.path.join(self.folder, name + ".log"), encoding="utf-8") as log:
                    print(f"{name} ended with {process.returncode}:\n" + "".join(log.readlines()[-LOG_LINES:]))

    def stop(self):
        codes = {}
        for name, process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for name, process in reversed(self.processes):
            try:
                codes[name] = process.wait(READY_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = "killed"
        return codes


def call(method, url, body=None, caller="demo"):
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json", "Trefoilhoist-Caller": caller}
    request = urllib.request.Request(url, data=data, method=method, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


def freePorts(count, host):
    """Ports that are free now; entries must know each other's before they start."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def startSite(site, plan):
    zones = plan["zones"]
    store = site.start("standin-store", "store", {"listen": "127.0.0.1:0"})["http"]
    placers = []
    for i in range(plan["placers"]):
        ready = site.start("trefoilhoist-placer", f"placer{i + 1}", {
            "id": f"placer{i + 1}", "listen": "127.0.0.1:0", "zone": zones[i % len(zones)], "store": [store], "cell": "c1"})
        placers.append(ready["http"])
    entries = startEntries(site, plan, store, placers)
    startTargets(site, plan, entries, placers)
    return store, placers, entries


def startEntries(site, plan, store, placers):
    count = plan["entries"]
    peers = [f"127.0.0.1:{port}" for port in freePorts(count, "127.0.0.1")]
    entries = []
    for i in range(count):
        ready = site.start("trefoilhoist-entry", f"entry{i + 1}", {
            "id": f"entry{i + 1}", "listen": "127.0.0.1:0", "peerListen": peers[i], "zone": plan["zones"][i % len(plan["zones"])],
            "peers": [peer for peer in peers if peer != peers[i]], "store": store, "cell": "c1", "placers": placers})
        entries.append(ready["http"])
    return entries


def startTargets(site, plan, entries, placers):
    zones, service, workers = plan["zones"], plan["service"], plan["workers"]
    for i in range(service["minions"]):
        site.start("standin-minion", f"minion{i + 1}", {
            "id": f"minion{i + 1}", "listen": "127.0.0.1:0", "zone": zones[i % len(zones)], "service": service["name"],
            "slots": service["slots"], "connections": service["connections"], "entries": entries,
            "medianServiceMs": service["medianServiceMs"], "seed": i + 1})
    for i in range(workers["count"]):
        rack = i // workers["perRack"]
        site.start("standin-worker", f"worker{i + 1}", {
            "id": f"worker{i + 1}", "listen": "127.0.0.1:0", "zone": zones[rack % len(zones)], "rack": f"rack{rack + 1}",
            "milliCpu": workers["milliCpu"], "memoryMb": workers["memoryMb"], "accelerators": workers["accelerators"],
            "placers": placers, "seed": i + 1})


def waitFor(what, condition, limit):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise SystemExit(f"gave up waiting for {what}")


def minionsKnown(entry):
    status, body = call("GET", f"http://{entry}/-/minions")
    if status != 200:
        return 0
    known = json.loads(body)
    return len(known["minions"] if isinstance(known, dict) else known)


def processorSeconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS
