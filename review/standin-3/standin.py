"""Stand-ins for the cases 11 to 15: a small deployment of the project's own programs on loopback, with executors, clients
and an operator that follow PROTOCOL.md. Needs only Python's standard library."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BROKEN, HELD, CANNOT_RUN = 1, 0, 2

# Bounds of sites/lsibg-drum.toml, in ms.
CONTACT_MS = 3000
CANCEL_MS = 3000
STOP_MS = 900
MAX_HOLD_MS = 6000
FINISH_MS = 14000
HEARTBEAT_MS = 1500
TIME_BUDGET_MS = 3000


class Record:
    """What was sent, answered and run, with the time since the start in ms."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def write(self, *words):
        self.file.write(f"{self.now_ms():7d} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message with a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(length) if length else b""


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """One HTTP call on a channel of its own. Returns the status and the decoded body; None when there was no response."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        content = b"" if body is None else json.dumps(body).encode()
        fields = {"Host": address, "Content-Type": "application/json", "Content-Length": len(content),
                  "Connection": "close"}
        fields.update(headers or {})
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head.encode() + b"\r\n" + content)
        await writer.drain()
        line, answered, text = await read_message(reader)
        return int(line.split()[1]), answered, json.loads(text) if text else {}

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Run:
    """A task that an executor has begun."""

    def __init__(self, task, number, step, began_ms, did_ms):
        self.task = task
        self.number = number
        self.step = step
        self.began_ms = began_ms
        self.did_ms = did_ms
        self.stopped_at_ms = None


class Executor:
    """A sound executor that takes its orders by calls ("rpc"). It guards nothing and runs what it is told to run."""

    def __init__(self, record, jobs, executor_id, address, control, zone, service, capacity, kind="a", clock_jump_ms=0):
        self.record = record
        self.jobs = jobs
        self.id = executor_id
        self.address = address
        self.control = control
        self.zone = zone
        self.service = service
        self.capacity = capacity
        self.kind = kind
        self.clock_jump_ms = clock_jump_ms
        self.server = None
        self.channels = set()
        self.runs = {}
        self.started = []
        self.ended = []
        self.end_count = 0
        self.closed = {}
        self.fence = 0
        self.lease_ms = 0
        self.sequence = 0
        self.has_end = asyncio.Event()
        self.work = []

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def start(self):
        self.began = time.monotonic()
        self.born = int(time.time() * 1000) + self.clock_jump_ms
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.work = [asyncio.create_task(self.report()), asyncio.create_task(self.advance())]
        self.record.write("executor", self.id, "up, born", self.born)

    def stop(self):
        for work in self.work:
            work.cancel()
        if self.server is not None:
            self.server.close()

    def crash(self):
        """Ends at once: all channels break, and all runs are gone."""
        self.stop()
        for writer in list(self.channels):
            writer.transport.abort()
        self.runs.clear()

    async def report(self):
        """The status reports; the next one comes after HEARTBEAT_MS, acknowledged or not."""
        while True:
            self.sequence += 1
            answer = await call(self.control, "PUT", "/-/instances/" + self.id,
                                {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                                 "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Capacity": self.capacity,
                                 "Labels": [self.kind, "r1"], "ClockMs": self.clock_ms(), "Seq": self.sequence,
                                 "born": self.born})
            if answer is not None:
                self.record.write("report of", self.id, "->", answer[0])
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def advance(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            elapsed_ms, last = (now - last) * 1000, now
            for run in list(self.runs.values()):
                run.did_ms += elapsed_ms
                if self.lease_ms and self.clock_ms() > self.lease_ms:
                    self.end(run, "lapsed")
                elif run.stopped_at_ms is not None:
                    if self.clock_ms() >= run.stopped_at_ms:
                        self.end(run, "stopped")
                elif not run.step.get("LongRunning") and run.did_ms >= run.step["EstimateMs"]:
                    self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record.write("executor", self.id, "ends", run.task, "run", run.number, how)
        self.has_end.set()
        self.has_end = asyncio.Event()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                status, answer = await self.handle(line.split()[1], headers, json.loads(body))
                answer = {"ClockMs": self.clock_ms(), "born": self.born, **answer}
                content = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(content)}"
                             "\r\n\r\n".encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()
        finally:
            self.channels.discard(writer)

    async def handle(self, path, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        if body.get("Fence", 0) < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = body.get("Fence", 0)
        if path == "/-/hold":
            return await self.hold(body)
        if path == "/-/run-start":
            return self.begin(body)
        if path == "/-/run-stop":
            return self.halt(body)
        return (200, {}) if path == "/-/pace" else (404, {})

    def extend_lease(self, until_ms):
        self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    async def hold(self, body):
        if body.get("DeadlineMs"):
            self.extend_lease(body["DeadlineMs"])
        self.ended = [end for end in self.ended if end[0] > body.get("AckCursor", 0)]
        if body.get("WaitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.has_end.wait(), body["WaitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"Running": [[run.task, run.number, "", self.percent(run), run.step["Cpu"]]
                                 for run in self.runs.values()], "EndedRuns": self.ended[:500]}

    @staticmethod
    def percent(run):
        if run.step.get("LongRunning"):
            return 100 if run.did_ms > 300 else 20
        return min(99, int(100 * run.did_ms / run.step["EstimateMs"]))

    def begin(self, body):
        task, number, until_ms = body["Task"], body["Run"], body["DeadlineMs"]
        if until_ms <= self.clock_ms():
            return 409, {"Reason": "late"}
        self.extend_lease(until_ms)
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if number <= self.closed.get(task, 0) or known is not None:
            return 409, {"Reason": "old"}
        job, _, step, _ = task.split(".")
        self.runs[task] = Run(task, number, self.jobs[job]["Steps"][int(step)], self.clock_ms(), 0.0)
        self.started.append((self.record.now_ms(), task))
        self.record.write("executor", self.id, "starts", task, "run", number, "fence", body["Fence"])
        return 200, {}

    def halt(self, body):
        task, number = body["Task"], body["Run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopped_at_ms is None:
            run.stopped_at_ms = self.clock_ms() + STOP_MS // 3
            self.record.write("executor", self.id, "stops", task, "run", number)
        return 200, {}

    def cpu_in_use(self):
        return sum(run.step["Cpu"] for run in self.runs.values())


class Deployment:
    """Three control processes, two gateways and a relay for each executor, with settings as the templates of the deploy
    file make them. Each machine has a loopback address of its own."""

    ZONES = ["z1", "z2", "z3"]
    LEASE = {"leaseMs": 6000, "heartbeatMs": 500, "leaderSilenceMs": 1000}

    def __init__(self, record, folder, executors):
        self.record = record
        self.folder = folder
        self.processes = {}
        self.settings = {}
        self.net = self.free_net()
        self.controls = [f"control-{number}" for number in range(1, 4)]
        self.gateways = [f"gateway-{number}" for number in range(1, 3)]
        self.relays = [f"relay-{number}" for number in range(1, executors + 1)]
        seeds = [self.ip(0, number) + ":8166" for number in range(1, 4)]
        for number, name in enumerate(self.controls, 1):
            self.write_settings(name, "control", {
                "processId": name, "listenAddress": self.ip(0, number) + ":7720",
                "platformAddress": self.ip(0, number) + ":8166", "metricsAddress": self.ip(0, number) + ":9465",
                "dataCentre": self.ZONES[number % 3], "dataCentres": self.ZONES, "dataFolder": f"{folder}/{name}",
                "start": "found", "controlSeeds": seeds, "lostReplicas": 1, "electionTimeoutMs": 500,
                "workerLeaseMs": MAX_HOLD_MS, "vm": {"memoryMb": 260, "maxDescriptors": 4100}, "lease": self.LEASE})
        for number, name in enumerate(self.gateways, 1):
            self.write_settings(name, "gateway", {
                "processId": name, "httpAddress": self.ip(1, number) + ":9464",
                "platformAddress": self.ip(1, number) + ":8161", "readinessAddress": self.ip(1, number) + ":8167",
                "dataCentre": self.ZONES[number % 3], "controlSeeds": seeds, "controlPort": 7720,
                "vm": {"memoryMb": 260, "maxDescriptors": 4100}, "lease": self.LEASE})
        for number, name in enumerate(self.relays, 1):
            self.write_settings(name, "relay", {
                "processId": name, "platformAddress": self.ip(2, number) + ":8166",
                "metricsAddress": self.ip(2, number) + ":9466", "dataCentre": self.ZONES[number % 3],
                "controlSeeds": seeds, "controlPort": 7720, "vm": {"memoryMb": 128, "maxDescriptors": 4096},
                "lease": self.LEASE})
        self.operator = seeds
        self.front = [self.ip(1, number) + ":8161" for number in range(1, 3)]
        self.side = [self.ip(2, number) + ":8166" for number in range(1, executors + 1)]
        self.app = [self.ip(3, number) + ":8080" for number in range(1, executors + 1)]

    def ip(self, kind, number):
        return f"127.{self.net}.{kind}.{number}"

    @staticmethod
    def free_net():
        """A part of the loopback range where nothing listens yet."""
        for attempt in range(100):
            net = 20 + (os.getpid() + attempt) % 200
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{net}.0.1", 8166))
                    return net
                except OSError:
                    continue
        raise RuntimeError("no free loopback addresses")

    def write_settings(self, name, program, settings):
        path = f"{self.folder}/{name}.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.settings[name] = [os.path.join(REPOSITORY, "target", "magnoliadrum-" + program), "--settings=" + path]

    def start(self, names):
        for name in names:
            log = open(f"{self.folder}/{name}.log", "a", encoding="utf-8")
            self.processes[name] = subprocess.Popen(self.settings[name], cwd=REPOSITORY, stdout=log, stderr=log)
            self.record.write("process", name, "started")

    def signal(self, name, number):
        self.record.write("process", name, "gets", signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    async def put_manifest(self, manifest):
        """The operator's order, sent again to the next node until it is acknowledged."""
        for attempt in range(60):
            address = self.operator[attempt % 3]
            for _ in range(3):
                answer = await call(address, "PUT", "/-/config", manifest)
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
            if answer is not None and answer[0] == 200:
                self.record.write("manifest", manifest["Version"], "is acknowledged")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the manifest is not acknowledged")


class Client:
    """A client of a queue under the host a.example."""

    def __init__(self, record, jobs):
        self.record = record
        self.jobs = jobs

    async def ask(self, address, method, path, body=None, timeout_s=TIME_BUDGET_MS / 1000):
        answer = await call(address, method, path, body, {"Host": "a.example", "Deadline-Ms": TIME_BUDGET_MS}, timeout_s)
        self.record.write("client", method, path, "at", address, "->",
                          "no response" if answer is None else f"{answer[0]} {json.dumps(answer[2])}")
        return answer

    async def submit(self, address, path, job, timeout_s=TIME_BUDGET_MS / 1000):
        self.jobs[path.rsplit("/", 1)[1]] = job
        return await self.ask(address, "POST", path, job, timeout_s)


def route(name, prefix, service):
    return {"Name": name, "Host": "a.example", "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": 3000,
            "TargetLatencyMs": 1000, "Priority": 0, "Service": service, "MaxAttempts": 3, "Stretch": 2.0}


def manifest(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "RejectsOverload": False, "Standby": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, case):
    """Runs case(record, temporary folder), which returns whether the rule held, and exits with the status of the case."""
    record = Record(os.path.join(folder, "record.txt"))
    record.write("trouble" if has_trouble() else "no trouble")
    temporary = tempfile.mkdtemp(prefix="magnoliadrum-case-")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        record.write("the rule held" if held else "the rule was broken")
        status = HELD if held else BROKEN
    except Exception as error:  # pylint: disable=broad-except
        record.write("the case could not run:", repr(error))
        status = CANNOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
