"""A small deployment of sapphirecrank on loopback, with stand-ins for runners, clients and operator.

Three allocators and some gateways run as separate processes, with the commands of the deploy file
and settings of the form of its template. The runners follow the users' PROTOCOL page.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/sapphirecrank"
SERVICE, HOST, PREFIX = "register", "tags.example", "/tags/"
MAXIMUM_HOLD_MS, STOP_GRACE_MS, HEARTBEAT_MS = 1000, 50, 1500
RETRANSMIT_S = 1.3
# A case runs for 120 s at most.
LIMIT_S = 105
CALLER_PORT, READINESS_PORT, CONTROL_PORT, METRICS_PORT, PEER_PORT, RUNNER_PORT = range(6)


class CannotRun(Exception):
    """The case can't run here; the exit code is 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def call(address, method, path, body=None, headers=(), timeout=2.0, redirects=2):
    """Makes one call on a new connection; returns (status, parsed body). Status 0: no answer."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else (body if isinstance(body, bytes) else
                                         json.dumps(body).encode())
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        line, answer_headers, answer = await read_message(reader)
        return int(line.split()[1]), answer_headers, answer

    try:
        status, answer_headers, answer = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    if status == 307 and redirects > 0 and "location" in answer_headers:
        rest = answer_headers["location"].removeprefix("http://")
        to, _, new_path = rest.partition("/")
        return await call(to, method, "/" + new_path, body, headers, timeout, redirects - 1)
    try:
        return status, json.loads(answer) if answer else {}
    except ValueError:
        return status, {}


class Runner:
    """A runner that starts whatever it is told to (admissionControl is false).

    The spec of a task is JSON: {"ms": how long it works, "ends": "done" or "failed"}; ms 0 means
    that it lasts until it is stopped.
    """

    def __init__(self, lab, name, address, zone, labels, cpu):
        self.lab, self.id, self.address, self.zone = lab, name, address, zone
        self.labels, self.cpu = labels, cpu
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.born_at = time.monotonic()
        self.token = self.seq = self.last_end = 0
        self.lease_end_ms = 0
        self.active, self.finished, self.highest = {}, [], {}
        self.ended = asyncio.Event()
        self.server = None
        self.writers = set()

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def begin(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.lab.spawn(self.send_heartbeats())
        self.lab.spawn(self.watch_lease())

    async def watch_lease(self):
        while True:
            self.check_lease()
            await asyncio.sleep(0.005)

    def check_lease(self):
        if self.clock() > self.lease_end_ms:
            for key in list(self.active):
                self.end(key, "lapsed")

    def extend(self, deadline_ms):
        self.check_lease()
        self.lease_end_ms = max(self.lease_end_ms,
                                min(deadline_ms, self.clock() + MAXIMUM_HOLD_MS))

    def end(self, key, how):
        if self.active.pop(key, None) is None:
            return
        self.last_end += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.finished.append([self.last_end, key[0], key[1], how, ""])
        self.ended.set()
        self.lab.on_end(self, key, how)

    def run_start(self, body):
        key, spec = (body["task"], body["runId"]), json.loads(body["spec"])
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        if key in self.active:
            return 200, {}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["deadlineMs"])
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {"reason": "old"}
        self.active[key] = (time.monotonic(), spec.get("ms", 0))
        self.lab.on_start(self, key, body)
        if spec.get("ms"):
            asyncio.get_running_loop().call_later(spec["ms"] / 1000, self.end, key,
                                                  spec.get("ends", "done"))
        return 200, {}

    def run_stop(self, body):
        key = (body["task"], body["runId"])
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.lab.on_stop(self, key)
        self.end(key, "stopped")
        return 200, {}

    async def hold(self, body):
        if body["fenceToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fenceToken"]
        self.check_lease()
        self.finished = [end for end in self.finished if end[0] > body["ackedSeq"]]
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        if body.get("waitMs") and not self.finished:
            self.ended.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.ended.wait(), body["waitMs"] / 1000)
        active = [[task, run, "", self.percent(at, ms), 0]
                  for (task, run), (at, ms) in self.active.items()]
        return 200, {"active": active, "finished": self.finished[:500]}

    @staticmethod
    def percent(began, ms):
        """A task that lasts is at work after 0.3 s; another one shows its progress."""
        elapsed_ms = (time.monotonic() - began) * 1000
        return min(100, int(elapsed_ms * 100 / (ms or 300)))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, data = await read_message(reader)
                path = line.split()[1]
                body = json.loads(data) if data else {}
                if headers.get("expect-instance", self.id) != self.id:
                    status, answer = 421, {}
                elif path.endswith("/run-start"):
                    status, answer = self.run_start(body)
                elif path.endswith("/run-stop"):
                    status, answer = self.run_stop(body)
                elif path.endswith("/hold"):
                    status, answer = await self.hold(body)
                else:
                    status, answer = 200, {}
                answer = {**answer, "clockMs": self.clock(), "born": self.born}
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def heartbeat(self):
        self.seq += 1
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "capacity": {"cpu": self.cpu, "memMb": 32768, "gpus": 0}, "labels": self.labels,
                "clockMs": self.clock(), "born": self.born}

    async def send_heartbeats(self):
        address = None
        while True:
            to = address or random.choice(self.lab.control_addresses())
            status, answer = await call(to, "POST", f"/sapphirecrank/Instances.Heartbeat/{self.id}",
                                        self.heartbeat(), timeout=1.0)
            address = (answer.get("heartbeatAddr") or to) if status == 200 else None
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.1)


class Process:
    """A gateway or an allocator."""

    def __init__(self, lab, role, name, ip, zone):
        self.lab, self.role, self.name, self.ip, self.zone = lab, role, name, ip, zone
        self.bootstrap = True
        self.child = None
        self.memory_kills = 0
        self.memory_mb = 256 if role == "allocator" else 260

    def start(self):
        lab = self.lab
        settings = {"name": self.name, "data_centre": self.zone, "address": self.ip,
                    "metrics_listen": f"{self.ip}:{lab.ports[METRICS_PORT]}",
                    "peer_port": lab.ports[PEER_PORT], "seeds": lab.control_addresses(),
                    "lost_disks_borne": 1, "catch_up_s": 4, "stop_time_s": 6,
                    "target_report_interval_ms": HEARTBEAT_MS, "longest_lease_ms": MAXIMUM_HOLD_MS,
                    "resubmission_delay_ms": 1300, "job_retention_s": 120,
                    "data_centres": lab.zones, "memory_mb": self.memory_mb, "descriptors": 4096,
                    "bootstrap": self.bootstrap}
        if self.role == "gateway":
            settings["caller_listen"] = self.caller_address()
            settings["readiness_listen"] = f"{self.ip}:{lab.ports[READINESS_PORT]}"
        else:
            folder = lab.folder / self.name
            folder.mkdir(exist_ok=True)
            settings["control_listen"] = self.control_address()
            settings["data_folder"] = str(folder)
        settings.update(lab.settings)
        path = lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        log = open(lab.folder / f"{self.name}.log", "a")
        self.child = subprocess.Popen([PROGRAM, self.role, "--settings", path], cwd=ROOT,
                                      stdout=log, stderr=log)
        log.close()
        self.bootstrap = False
        lab.record.line(f"platform starts {self.name}, pid {self.child.pid}")

    def caller_address(self):
        return f"{self.ip}:{self.lab.ports[CALLER_PORT]}"

    def control_address(self):
        return f"{self.ip}:{self.lab.ports[CONTROL_PORT]}"

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.lab.record.line(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def resident_mb(self):
        try:
            for line in open(f"/proc/{self.child.pid}/status"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Lab:
    """The deployment and what its stand-ins have seen."""

    def __init__(self, record, gateways=2, allocators=3, timeout_ms=1500, settings=None):
        self.record, self.timeout_ms, self.settings = record, timeout_ms, settings or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-review-"))
        self.zones = [f"zone-{letter}" for letter in "abc"]
        self.tasks = set()
        self.subnet = self.free_subnet()
        ip = lambda last: f"127.{self.subnet}.7.{last}"
        self.allocators = [Process(self, "allocator", f"core-{i}", ip(10 + i), self.zones[i % 3])
                           for i in range(allocators)]
        self.gateways = [Process(self, "gateway", f"front-{i}", ip(30 + i), self.zones[i % 3])
                         for i in range(gateways)]
        self.runners = []
        self.restarting = set()
        self.starts, self.stops, self.ends = [], [], []
        self.next_runner_ip = 50
        self.last_job = random.randrange(1 << 62) << 1

    def free_subnet(self):
        for _ in range(50):
            subnet = random.randint(20, 200)
            ports = []
            try:
                for _ in range(6):
                    with socket.socket() as probe:
                        probe.bind((f"127.{subnet}.7.10", 0))
                        ports.append(probe.getsockname()[1])
            except OSError:
                continue
            if len(set(ports)) == 6:
                self.ports = ports
                return subnet
        raise CannotRun("no free loopback addresses")

    def control_addresses(self):
        return [process.control_address() for process in self.allocators]

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_runner(self, zone, labels=("a", "r1"), cpu=16000):
        address = f"127.{self.subnet}.7.{self.next_runner_ip}:{self.ports[RUNNER_PORT]}"
        runner = Runner(self, f"i-{self.next_runner_ip:08x}", address, zone, list(labels), cpu)
        self.next_runner_ip += 1
        self.runners.append(runner)
        await runner.begin()
        return runner

    # What the runners see.
    def on_start(self, runner, key, body):
        self.starts.append((self.record.now(), runner.id, *key))
        self.record.line(f"{runner.id} starts {key[0]} run {key[1]} token {body['fenceToken']}")

    def on_stop(self, runner, key):
        self.stops.append((self.record.now(), runner.id, *key))
        self.record.line(f"{runner.id} is told to stop {key[0]} run {key[1]}")

    def on_end(self, runner, key, how):
        self.ends.append((self.record.now(), runner.id, *key, how))
        self.record.line(f"{runner.id} ends {key[0]} run {key[1]}: {how}")

    # What clients and the operator do.
    def new_job(self):
        self.last_job += 1
        return f"{self.last_job:016x}"

    async def submit(self, gateway, job, body, deadline_ms=1500, timeout=None, prefix=PREFIX):
        self.record.line(f"client POST {job} at {gateway.name}")
        status, answer = await call(gateway.caller_address(), "POST", prefix + job, body,
                                    [f"Deadline-Ms: {deadline_ms}"],
                                    timeout=timeout or deadline_ms / 1000)
        self.record.line(f"client POST {job} at {gateway.name} -> {status} {json.dumps(answer)}")
        return status, answer

    async def submit_until_accepted(self, job, body, prefix=PREFIX):
        """Sends a job as the page says: again after no answer, 502 and 504, at any node."""
        for attempt in range(20):
            gateway = self.gateways[attempt % len(self.gateways)]
            status, answer = await self.submit(gateway, job, body, prefix=prefix)
            if 200 <= status < 300:
                return status
            await asyncio.sleep(RETRANSMIT_S)
        return 0

    async def get(self, gateway, job, prefix=PREFIX):
        status, answer = await call(gateway.caller_address(), "GET", prefix + job, None,
                                    ["Deadline-Ms: 1500"], timeout=1.5)
        self.record.line(f"client GET {job} at {gateway.name} -> {status} {json.dumps(answer)}")
        return status, answer.get("state")

    async def delete(self, gateway, job, prefix=PREFIX):
        self.record.line(f"client DELETE {job} at {gateway.name}")
        status, answer = await call(gateway.caller_address(), "DELETE", prefix + job, None,
                                    ["Deadline-Ms: 1500"], timeout=1.5)
        self.record.line(f"client DELETE {job} at {gateway.name} -> {status} {json.dumps(answer)}")
        return status

    def configuration(self, version):
        return {"version": version,
                "routes": [{"name": "r-tags", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
                            "timeoutMs": self.timeout_ms, "sloMs": 60, "priority": 1, "service": SERVICE,
                            "maxAttempts": 3, "stretch": 1.6}],
                "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                              "protocol": "h1", "tls": False, "admissionControl": False,
                              "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def put_configuration(self, version):
        for attempt in range(40):
            to = self.control_addresses()[attempt % len(self.allocators)]
            status, _ = await call(to, "POST", "/sapphirecrank/Config.Put",
                                   self.configuration(version), timeout=1.0)
            self.record.line(f"operator Config.Put {version} at {to} -> {status}")
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the first configuration was not accepted")

    async def leader_address(self, version):
        """Changes the configuration; returns the control address of the node that acknowledges it.

        Nodes that don't lead answer with a 307 to the one that does."""
        for attempt in range(40):
            to = self.control_addresses()[attempt % len(self.allocators)]
            status, _ = await call(to, "POST", "/sapphirecrank/Config.Put",
                                   self.configuration(version), timeout=1.0, redirects=0)
            self.record.line(f"operator Config.Put {version} at {to} -> {status}")
            if status == 200:
                return to
            await asyncio.sleep(0.1)
        raise CannotRun("no node acknowledged the configuration")

    async def begin(self, runners):
        """Starts everything, and waits until gateways are ready and runners are in use.

        `runners` lists (zone index, labels, milli-cores)."""
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} is missing")
        for process in self.allocators + self.gateways:
            process.start()
        for zone, labels, cpu in runners:
            await self.add_runner(self.zones[zone], labels, cpu)
        await self.put_configuration(7)
        for _ in range(200):
            ready = [await call(f"{g.ip}:{self.ports[READINESS_PORT]}", "GET",
                                "/sapphirecrank/ready", timeout=1.0) for g in self.gateways]
            if all(status == 200 for status, _ in ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("a gateway did not become ready")
        await asyncio.sleep(6)  # Traffic starts later than the machines do.
        self.record.line("traffic starts")

    async def keep_memory_limits(self, restart_delay=0.5):
        """Does what the platform does: kills a process above `memoryMb`, restarts ended ones."""
        while True:
            for process in self.allocators + self.gateways:
                if process.resident_mb() > process.memory_mb:
                    process.memory_kills += 1
                    self.record.line(f"platform kills {process.name}: {process.resident_mb():.0f} "
                                     f"MB of {process.memory_mb} MB")
                    process.end()
                if process.child.poll() is not None and process.name not in self.restarting:
                    self.restarting.add(process.name)
                    self.spawn(self.restart_later(process, restart_delay))
            await asyncio.sleep(0.02)

    async def restart_later(self, process, delay):
        await asyncio.sleep(delay)
        process.start()
        self.restarting.discard(process.name)

    async def finish(self):
        """Ends the stand-ins, so that nothing of them is left in the event loop."""
        for runner in self.runners:
            runner.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*list(self.tasks), return_exceptions=True)
        for runner in self.runners:
            for writer in list(runner.writers):
                writer.transport.abort()
        await asyncio.sleep(0.1)

    def end(self):
        """Ends all processes that the case started."""
        for process in self.allocators + self.gateways:
            process.end()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def main(case, folder, **options):
    """Runs `case(lab, has_trouble)`, which returns the breaks of the rule as texts, and exits."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={1 if has_trouble else 0}")
    lab = None

    async def run():
        try:
            return await asyncio.wait_for(case(lab, has_trouble), LIMIT_S)
        finally:
            await lab.finish()

    try:
        lab = Lab(record, **options)
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        record.line(f"the case could not run: {error or 'out of time'}")
        print(f"could not run: {error or 'out of time'}")
        sys.exit(2)
    finally:
        if lab is not None:
            lab.end()
    for text in broken:
        record.line(f"BROKEN {text}")
        print(text)
    record.line("broken" if broken else "held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
