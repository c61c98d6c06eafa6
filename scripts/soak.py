#!/usr/bin/env python3
"""Randomised fault soak of gateways and allocators as separate processes on loopback.

Three allocators and two gateways run as real processes on addresses of their own (127.0.9.x). This
program plays the targets, the callers and the operator by the published protocol, and injects faults
from outside: processes are killed, paused and stopped by signals; a proxy in front of each target
and of each host's port for links delays, resets, silences or cuts its connections one way; targets
crash and start again; disks of allocators are lost, one at a time, or take no more bytes. The hosts
don't use the time of day but in their logs, so that clocks that jump aren't played.

Checked while it runs, from what callers and targets see: no target is given more than its capacity,
no task runs twice at the same time, no job whose attempts were all refused has a started task, no
read of the configuration is older than what was acknowledged a while before. Of stored jobs also: no
task is started after a run of it was done and noted, none before its earlier step is done, none
after its job was cancelled; none is unknown after it was accepted, or shown as completed before all
its tasks are done. Checked at the end, after the faults: jobs are served again, all stored jobs are
completed or cancelled, and the newest acknowledged configuration is read back.

Usage: soak.py [--seed N] [--seeds COUNT] [--seconds S]. Exit code 1 if a check failed; the logs of
the processes are then kept and named.
"""

import argparse
import asyncio
import json
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_PROGRAM = ROOT / "build/release/src/sapphirecrank"
ALLOCATORS = [f"127.0.9.{i}" for i in (1, 2, 3)]
GATEWAYS = [f"127.0.9.{i}" for i in (11, 12)]
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 18761, 18762, 18763, 18764
# Where hosts listen for links; the proxy of each host forwards from the port above.
PEER_BIND_PORT = 18765
TARGETS = 6
CAPACITY = 16000
LONGEST_LEASE = 1.0
HEARTBEAT = 0.5
RESUBMIT_AFTER = 1.3
LINK_FAULTS = ["silent", "there", "back", "delay", "reset"]
FAULTS = ["kill", "kill", "term", "pause", "hup", "crash", "wipe", "full", *LINK_FAULTS,
          *(f"peer-{kind}" for kind in LINK_FAULTS)]
CONFIGURATION_DELAY = 2.0
# Bounds of the platform's pages for stored jobs.
VISIBLE_DELAY, CANCEL_DELAY = 3.0, 3.0
RECOVERY_LIMIT = 40.0
# The settings tolerate one lost disk; a host counts as lost for this long after it is back.
CATCH_UP = 4.0
SERVICE, HOST, PREFIX = "soak-service", "soak.example", "/q/"


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def call(address, method, path, body=None, headers=(), timeout=2.0):
    """Makes one call; returns (status, body), status 0 if no answer came."""
    host, port = address.rsplit(":", 1)
    writer = None
    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        line, _, answer = await read_message(reader)
        return int(line.split()[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Checks:
    """What was seen that must not be, the counts for the report, and the log of events."""

    def __init__(self, folder):
        self.events = open(folder / "events.log", "w")
        self.broken = []
        self.running = {}
        self.started_jobs = set()
        self.stored, self.cancelled = {}, {}
        # Tasks that are done, those of which that is noted, and when each was started last.
        self.done, self.noted, self.started_at = set(), set(), {}
        self.counts = {}

    def note(self, text):
        self.events.write(f"{time.time():.3f} {text}\n")

    def fail(self, text):
        self.note(text)
        self.broken.append(f"{time.time():.3f} {text}")

    def on_start(self, task):
        """Checks a start of a task of a stored job."""
        job, _, step, _ = task.split(".")
        if job not in self.stored:
            return
        if task in self.noted:
            self.fail(f"TWICE: {task} started after it was done and noted")
        self.started_at[task] = time.monotonic()
        if int(step) > 0 and not all(t in self.done for t in self.tasks_of(job, int(step) - 1)):
            self.fail(f"ORDER: {task} started before the earlier step was done")
        if time.monotonic() > self.cancelled.get(job, float("inf")) + CANCEL_DELAY:
            self.fail(f"UNASKED: {task} started after its job was cancelled")

    def tasks_of(self, job, step):
        return [f"{job}.0.{step}.{i}" for i in range(self.stored[job][step])]

    def on_noted(self, task, done_at):
        """Checks the end of a run that was done, once its owner says that it is known."""
        self.noted.add(task)
        if self.started_at.get(task, 0) > done_at:
            self.fail(f"TWICE: {task} was started again after a run that was done and is noted")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1


class Target:
    """A target without admission control, with a lease, a fencing token and lists of its runs."""

    def __init__(self, name, checks, rng):
        self.name, self.checks, self.rng = name, checks, rng
        self.lives = 0
        self.start_life()

    def start_life(self):
        for key in [k for k, t in self.checks.running.items() if t is self]:
            del self.checks.running[key]
        self.lives += 1
        self.id = f"{self.name}-{self.lives}"
        self.born = time.time_ns() // 1000000
        self.birth = time.monotonic()
        self.token, self.lease, self.sequence, self.beats = 0, 0.0, 0, 0
        self.active, self.ends, self.ended = {}, [], {}
        # Ends up to this one were followed by an end of the lease and count for nothing.
        self.void = 0
        self.ended_at = {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.birth) * 1000)

    def end(self, key, how):
        need = self.active.pop(key, None)
        if need is None:
            return
        if self.checks.running.get(key[0]) is self:
            del self.checks.running[key[0]]
        self.checks.note(f"{self.id}: {how} {key}")
        self.ended[key[0]] = max(self.ended.get(key[0], 0), key[1])
        if how == "done":
            self.checks.done.add(key[0])
        self.sequence += 1
        self.ended_at[self.sequence] = time.monotonic()
        self.ends.append([self.sequence, key[0], key[1], how, ""])
        self.changed.set()

    def extend(self, until):
        self.tick()
        self.lease = max(self.lease, min(until / 1000, self.clock() / 1000 + LONGEST_LEASE))

    def tick(self):
        if self.clock() / 1000 > self.lease:
            self.void = self.sequence
            for key in list(self.active):
                self.end(key, "lapsed")

    def run_start(self, body):
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        key = (body["task"], body["runId"])
        if key in self.active:
            return 200, {}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        if key[1] <= self.ended.get(key[0], 0):
            return 409, {"reason": "old"}
        self.extend(body["deadlineMs"])
        self.checks.note(f"{self.id}: started {key}, token {self.token}, lease {self.lease:.3f}, "
                         f"clock {self.clock()}")
        spec = json.loads(body["spec"])
        if sum(self.active.values()) + spec["cpu"] > CAPACITY:
            self.checks.fail(f"LIMIT: {key} on {self.id}, active {list(self.active)}")
        if key[0] in self.checks.running:
            self.checks.fail(f"TWICE: {key} on {self.id} and {self.checks.running[key[0]].id}")
        self.active[key] = spec["cpu"]
        self.checks.running[key[0]] = self
        self.checks.started_jobs.add(key[0].split(".")[0])
        self.checks.on_start(key[0])
        self.checks.count("runs")
        life = self.id
        how = "failed" if self.rng.random() < 0.01 else "done"
        asyncio.get_running_loop().call_later(
            spec["seconds"], lambda: self.id == life and self.end(key, how))
        return 200, {}

    def run_stop(self, body):
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        key = (body["task"], body["runId"])
        self.checks.note(f"{self.id}: stop of {key}")
        self.ended[key[0]] = max(self.ended.get(key[0], 0), key[1])
        self.end(key, "stopped")
        return 200, {}

    async def hold(self, body):
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        self.tick()
        for end in self.ends:
            if self.void < end[0] <= body["ackedSeq"] and end[3] == "done":
                self.checks.on_noted(end[1], self.ended_at[end[0]])
        self.ends = [end for end in self.ends if end[0] > body["ackedSeq"]]
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        if body.get("waitMs") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"active": [[k[0], k[1], "", 0, 0] for k in self.active], "finished": self.ends}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, data = await read_message(reader)
                path, body = line.split()[1], json.loads(data)
                if headers.get("expect-instance") != self.id:
                    status, answer = 421, {}
                elif path.endswith("/run-start"):
                    status, answer = self.run_start(body)
                elif path.endswith("/run-stop"):
                    status, answer = self.run_stop(body)
                else:
                    status, answer = await self.hold(body)
                answer.update(clockMs=self.clock(), born=self.born)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                             + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def beat(self):
        """Sends heartbeats to the address that the last answer named, or to any allocator."""
        address = None
        while True:
            self.tick()
            self.beats += 1
            body = {"service": SERVICE, "address": self.address, "zone": "soak", "version": "v1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": self.beats,
                    "capacity": {"cpu": CAPACITY, "memMb": 1024, "gpus": 0}, "born": self.born,
                    "labels": ["a", "r1"], "clockMs": self.clock()}
            to = address or f"{self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
            status, answer = await call(
                to, "POST", f"/sapphirecrank/Instances.Heartbeat/{self.id}", body, timeout=1.0)
            address = json.loads(answer).get("heartbeatAddr") if status == 200 else None
            await asyncio.sleep(HEARTBEAT if status == 200 else 0.1)

    async def watch_lease(self):
        while True:
            self.tick()
            await asyncio.sleep(0.01)


class Proxy:
    """Forwards connections to a target or a host and misbehaves on order."""

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.mode = "pass"
        self.writers = set()

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(self.address, self.port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, to_writer}
        try:
            await asyncio.gather(self.pump(reader, to_writer, "there"),
                                 self.pump(to_reader, writer, "back"))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, to_writer}

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.6)
                while self.mode in ("silent", way):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    """One process of the program, which this soak starts and ends."""

    def __init__(self, program, folder, role, address):
        self.program, self.folder, self.role, self.address = program, folder, role, address
        self.data = folder / f"data-{address}"
        self.process = None
        self.is_faulted = False
        self.has_started = False

    def start(self):
        settings = {"name": self.address, "data_centre": "soak", "address": self.address,
                    "peer_port": PEER_PORT, "peer_bind_port": PEER_BIND_PORT, "seeds": [f"{a}:{CONTROL_PORT}" for a in ALLOCATORS],
                    "longest_lease_ms": int(LONGEST_LEASE * 1000)}
        if self.role == "gateway":
            settings["caller_listen"] = f"{self.address}:{CALLER_PORT}"
            settings["readiness_listen"] = f"{self.address}:{READY_PORT}"
        else:
            self.data.mkdir(exist_ok=True)
            settings.update(control_listen=f"{self.address}:{CONTROL_PORT}",
                            data_folder=str(self.data),
                            bootstrap=not self.has_started, lost_disks_borne=1)
        path = self.folder / f"{self.address}.json"
        path.write_text(json.dumps(settings))
        self.has_started = True
        log = open(self.folder / f"{self.address}.log", "a")
        self.process = subprocess.Popen([self.program, self.role, "--settings", path], stdout=log,
                                        stderr=log)

    def limit_files(self, size):
        """Lets writes beyond `size` bytes of a file fail, as on a full disk."""
        if self.process is not None and self.process.poll() is None:
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                             (size, resource.RLIM_INFINITY))

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    def __init__(self, program, kinds, seed, seconds, folder):
        self.rng = random.Random(seed)
        self.kinds, self.seconds, self.folder = kinds, seconds, folder
        self.checks = Checks(folder)
        self.hosts = [Host(program, folder, "allocator", a) for a in ALLOCATORS]
        self.hosts += [Host(program, folder, "gateway", a) for a in GATEWAYS]
        self.version, self.acknowledged = 0, []
        self.next_job = 0
        self.is_disk_lost = False
        self.is_over = False

    async def put_configuration(self):
        self.version += self.rng.randint(1, 3)
        route = {"name": "r", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe", "service": SERVICE,
                 "timeoutMs": 1500 + self.version, "sloMs": 500, "priority": 0, "maxAttempts": 3,
                 "stretch": 2.0}
        body = {"version": self.version, "routes": [route], "services": [{"name": SERVICE}],
                "limits": {}}
        address = f"{self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
        status, _ = await call(address, "POST", "/sapphirecrank/Config.Put", body, timeout=1.5)
        if status == 200:
            self.acknowledged.append((time.monotonic(), self.version))
            self.checks.count("configurations")
        return status == 200

    async def read_configuration(self):
        asked = time.monotonic()
        known = [v for at, v in self.acknowledged if at + CONFIGURATION_DELAY < asked]
        address = f"{self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
        status, body = await call(address, "GET", "/sapphirecrank/Config.Get", timeout=1.5)
        if status != 200:
            return None
        version = json.loads(body)["version"]
        if known and version < max(known):
            self.checks.fail(f"CONFIG: {address} read {version}, acknowledged {max(known)}")
        return version

    async def run_job(self):
        """Submits a job until it has a final answer; returns whether it was completed."""
        self.next_job += 1
        job = f"{self.next_job:016x}"
        cpu = self.rng.choice([3000, 5000, 7000])
        spec = json.dumps({"cpu": cpu, "seconds": self.rng.choice([0.02, 0.05, 0.2, 0.6])})
        body = {"spec": spec, "bestEffort": True,
                "steps": [{"count": self.rng.randint(1, 5), "cpu": cpu, "memMb": 1,
                           "estRuntimeMs": 200}]}
        statuses = []
        for _ in range(3):
            gateway = self.rng.choice(GATEWAYS)
            self.checks.note(f"job {job} sent to {gateway}")
            status, answer = await call(
                f"{gateway}:{CALLER_PORT}", "POST", PREFIX + job, body,
                ["Deadline-Ms: 1500", f"request-id: {job}"], timeout=1.5)
            self.checks.note(f"job {job} answered {status}")
            statuses.append(status)
            if status in (200, 404, 429, 503):
                break
            await asyncio.sleep(RESUBMIT_AFTER)
        self.checks.count(f"jobs answered {statuses[-1]}")
        if all(s in (429, 503) for s in statuses):
            # A task that starts after the refusal counts as well.
            await asyncio.sleep(1.0)
            if job in self.checks.started_jobs:
                self.checks.fail(f"REFUSED: {job} was refused and has started")
        return statuses[-1] == 200 and json.loads(answer).get("state") == "completed"

    async def call_gateway(self, method, path, body=None):
        gateway = self.rng.choice(GATEWAYS)
        return await call(f"{gateway}:{CALLER_PORT}", method, PREFIX + path, body,
                          ["Deadline-Ms: 1500"], timeout=1.5)

    async def run_stored_job(self):
        """Submits a job that is stored, and follows it to its end."""
        self.next_job += 1
        job = f"{self.next_job:016x}"
        cpu = self.rng.choice([3000, 5000, 7000])
        spec = json.dumps({"cpu": cpu, "seconds": self.rng.choice([0.02, 0.2, 0.6, 2.0])})
        counts = [self.rng.randint(1, 4) for _ in range(self.rng.randint(1, 3))]
        steps = [{"count": count, "cpu": cpu, "memMb": 1, "estRuntimeMs": 200,
                  **({"after": [i - 1]} if i > 0 else {})} for i, count in enumerate(counts)]
        self.checks.stored[job] = counts
        statuses = []
        for _ in range(4):
            status, _ = await self.call_gateway("POST", job, {"spec": spec, "steps": steps})
            self.checks.note(f"stored job {job} answered {status}")
            statuses.append(status)
            if status in (200, 404, 429, 503):
                break
            await asyncio.sleep(RESUBMIT_AFTER)
        self.checks.count(f"stored jobs answered {statuses[-1]}")
        if statuses[-1] == 200:
            await self.follow(job, time.monotonic())
        elif all(s in (429, 503) for s in statuses):
            await asyncio.sleep(1.0)
            if job in self.checks.started_jobs:
                self.checks.fail(f"REFUSED: {job} was refused and has started")

    async def follow(self, job, accepted):
        cancel = self.rng.random() < 0.15
        if cancel:
            await asyncio.sleep(self.rng.random())
        end = accepted + self.seconds + RECOVERY_LIMIT
        while time.monotonic() < end:
            method = "DELETE" if cancel and job not in self.checks.cancelled else "GET"
            asked = time.monotonic()
            status, answer = await self.call_gateway(method, job)
            if status == 200 and method == "DELETE":
                self.checks.cancelled[job] = time.monotonic()
            elif status == 200:
                state = json.loads(answer).get("state")
                if state == "completed":
                    missing = [t for step in range(len(self.checks.stored[job]))
                               for t in self.checks.tasks_of(job, step)
                               if t not in self.checks.done]
                    if missing:
                        self.checks.fail(f"MIXED: {job} shown as completed without {missing}")
                if state in ("completed", "failed", "cancelled"):
                    self.checks.count(f"stored jobs {state}")
                    return
            elif status == 410 and asked > accepted + VISIBLE_DELAY:
                self.checks.fail(f"LOST: stored job {job} is unknown")
                return
            await asyncio.sleep(0.3)
        self.checks.fail(f"LOST: stored job {job} has not ended")

    async def stored_callers(self):
        while not self.is_over:
            await self.run_stored_job()

    async def callers(self):
        while not self.is_over:
            await self.run_job()
            await asyncio.sleep(self.rng.random() * 0.1)

    async def operator(self):
        while not self.is_over:
            await self.put_configuration()
            await self.read_configuration()
            await asyncio.sleep(self.rng.random())

    async def fault(self):
        """Injects one fault and heals it; several of these overlap."""
        # Of two faults that restart the same process, one would start it twice.
        host = self.rng.choice([h for h in self.hosts if not h.is_faulted])
        host.is_faulted = True
        try:
            await self.fault_of(host)
        finally:
            host.is_faulted = False

    async def fault_of(self, host):
        proxy = self.rng.choice(self.proxies)
        span = self.rng.uniform(0.3, 3.0)
        kind = self.rng.choice(self.kinds)
        if kind in ("wipe", "full") and host.role != "allocator":
            return
        if kind.startswith("peer-"):
            proxy = self.peer_proxies[self.hosts.index(host)]
        self.checks.count(f"fault {kind}")
        self.checks.note(f"fault {kind}, host {host.address}, proxy to {proxy.address}:{proxy.port},"
                         f" {span:.1f} s")
        kind = kind.removeprefix("peer-")
        if kind == "wipe":
            await self.wipe(host, span)
        elif kind == "full":
            host.limit_files(0)
            await asyncio.sleep(span)
            host.limit_files(resource.RLIM_INFINITY)
        elif kind == "kill":
            host.end()
            await asyncio.sleep(span / 2)
            host.start()
        elif kind == "term":
            host.signal(signal.SIGTERM)
            for _ in range(80):
                if host.process.poll() is not None:
                    break
                await asyncio.sleep(0.1)
            host.end()
            host.start()
        elif kind == "pause":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            host.signal(signal.SIGCONT)
        elif kind == "hup":
            host.signal(signal.SIGHUP)
        elif kind == "reset":
            proxy.reset()
        elif kind == "crash":
            self.rng.choice(self.targets).start_life()
        else:
            proxy.mode = kind
            await asyncio.sleep(span)
            proxy.mode = "pass"

    async def wipe(self, host, span):
        """Lets a host lose its disk; one at a time, and its successor has to catch up before more."""
        if self.is_disk_lost:
            return
        self.is_disk_lost = True
        host.end()
        shutil.rmtree(host.data, ignore_errors=True)
        await asyncio.sleep(span / 2)
        host.start()
        await asyncio.sleep(CATCH_UP)
        self.is_disk_lost = False

    async def faults(self):
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            await self.fault()

    async def until(self, attempt):
        end = time.monotonic() + RECOVERY_LIMIT
        while time.monotonic() < end:
            if await attempt():
                return True
            await asyncio.sleep(0.2)
        return False

    async def start_targets(self):
        self.targets, self.proxies, self.tasks = [], [], []
        for i in range(TARGETS):
            target = Target(f"t{i}", self.checks, self.rng)
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            proxy = Proxy("127.0.0.1", server.sockets[0].getsockname()[1])
            front = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
            target.address = f"127.0.0.1:{front.sockets[0].getsockname()[1]}"
            self.targets.append(target)
            self.proxies.append(proxy)
            self.tasks += [asyncio.create_task(target.beat()),
                           asyncio.create_task(target.watch_lease())]

    async def start_peer_proxies(self):
        self.peer_proxies, self.peer_servers = [], []
        for host in self.hosts:
            proxy = Proxy(host.address, PEER_BIND_PORT)
            self.peer_servers.append(
                await asyncio.start_server(proxy.serve, host.address, PEER_PORT))
            self.peer_proxies.append(proxy)

    async def run(self):
        await self.start_targets()
        await self.start_peer_proxies()
        for host in self.hosts:
            host.start()
        if not await self.until(self.put_configuration) or not await self.until(self.run_job):
            self.checks.fail("START: no job was served")
            return
        work = [asyncio.create_task(self.callers()) for _ in range(10)]
        work += [asyncio.create_task(self.stored_callers()) for _ in range(5)]
        work += [asyncio.create_task(self.operator())]
        work += [asyncio.create_task(self.faults()) for _ in range(2)]
        await asyncio.sleep(self.seconds)
        self.is_over = True
        await asyncio.gather(*work)
        await self.check_end()

    async def check_end(self):
        if not await self.until(self.run_job):
            self.checks.fail("RECOVER: no job was served after the faults")
        newest = max((v for _, v in self.acknowledged), default=0)

        async def is_read_back():
            version = await self.read_configuration()
            return version is not None and version >= newest

        if not await self.until(is_read_back):
            self.checks.fail(f"LOST: configuration {newest} is not read back")

    def end(self):
        for task in self.tasks:
            task.cancel()
        for server in self.peer_servers:
            server.close()
        for host in self.hosts:
            host.end()
        self.checks.events.close()


async def play(program, kinds, seed, seconds, folder):
    soak = Soak(program, kinds, seed, seconds, folder)
    try:
        await soak.run()
    finally:
        soak.end()
    return soak.checks


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--faults", default=",".join(FAULTS), help="kinds to choose from")
    parser.add_argument("--program", type=pathlib.Path, default=DEFAULT_PROGRAM)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-soak-"))
        checks = asyncio.run(play(options.program, options.faults.split(","), seed, options.seconds, folder))
        counts = ", ".join(f"{name} {count}" for name, count in sorted(checks.counts.items()))
        print(f"seed {seed}: {'FAILED' if checks.broken else 'ok'}; {counts}", flush=True)
        if not checks.broken:
            shutil.rmtree(folder)
            continue
        failed += 1
        print(f"logs: {folder}")
        for line in checks.broken[:10]:
            print("  " + line)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
