"""Stand-ins for the review's scripts: runners, clients, the operator, and the start of the programs.

The processes are started with the commands of deploy/system.toml, on loopback addresses of their
own and with the bounds of the satna-listky deployment. Everything that clients, runners and the
operator send, receive and run is written to record.txt in the folder of the case.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/sapphirecrank"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the deployment, in seconds.
HEARTBEAT_INTERVAL = 1.5
MAXIMUM_HOLD = 1.0
CANCEL_LIMIT = 3.0
STOP_GRACE = 0.05
CONTACT = 3.0
FINISH = 14.0
RETRANSMIT = 1.3

SERVICE = "huvo11a"
HOST = "nony24.example"
ZONES = ["ba-divadlo", "trnava-hala", "nitra-muzea"]


class CannotRun(Exception):
    """The case couldn't be played, for a reason that isn't the rule under test."""


class Record:
    """The log of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def call(address, method, path, body=None, headers=(), timeout=1.0, host=HOST):
    """Makes one HTTP call; returns the status (0 without a response), the headers and the body."""
    address_host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address_host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        line, response_headers, response = await read_message(reader)
        return int(line.split()[1]), response_headers, response

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Runner:
    """A runner as PROTOCOL.md describes it, without admission control, in `call` mode.

    The spec of a task is JSON: `seconds` is its run time, or null for a task that runs until it is
    stopped.
    """

    def __init__(self, cluster, name, cpu=16000, zone=ZONES[0], labels=("a", "r1-1"),
                 first_heartbeat_delay=0.0):
        self.cluster, self.record, self.name, self.cpu = cluster, cluster.record, name, cpu
        self.zone, self.labels = zone, list(labels)
        self.first_heartbeat_delay = first_heartbeat_delay
        self.address = None
        # Where the runner was last asked to send its heartbeats.
        self.heartbeat_address = None
        self.is_up = False
        self.writers = set()
        self.server = None
        self.tasks = []

    async def start(self):
        """Begins a life of the runner, at the same address and under the same id as before."""
        self.born = time.time_ns() // 1000000
        self.life_started_at = time.monotonic()
        self.token, self.lease_end, self.last_end, self.sequence = 0, 0.0, 0, 0
        self.active, self.finished, self.closed_runs = {}, [], {}
        # Number of the last end before the lease last expired.
        self.last_lapsed_end = 0
        self.run_ended = asyncio.Event()
        self.state = "ready"
        host, port = self.address.rsplit(":") if self.address else ("127.0.0.1", 0)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.is_up = True
        self.record.write(f"runner {self.name}: life {self.born} begins at {self.address}")
        self.tasks = [asyncio.create_task(self.send_heartbeats()),
                      asyncio.create_task(self.watch_lease())]

    def crash(self):
        """Ends the life: connections are reset, and all that runs is gone."""
        self.is_up = False
        self.record.write(f"runner {self.name}: life {self.born} crashes, "
                          f"{len(self.active)} runs are gone")
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for key in list(self.active):
            self.active.pop(key)
            self.cluster.on_run_gone(self, key)

    def clock(self):
        return int((time.monotonic() - self.life_started_at) * 1000)

    def end_run(self, key, how):
        if key not in self.active:
            return
        self.active.pop(key)
        self.closed_runs[key[0]] = max(self.closed_runs.get(key[0], 0), key[1])
        self.last_end += 1
        self.finished.append([self.last_end, key[0], key[1], how, ""])
        self.record.write(f"runner {self.name}: run {key[0]} #{key[1]} ends {how}")
        self.cluster.on_run_end(self, key, how)
        self.run_ended.set()

    def has_lapsed_since(self, end):
        """Tells whether the lease has expired since the end with this number."""
        self.check_lease()
        return end <= self.last_lapsed_end

    def check_lease(self):
        if self.clock() / 1000 > self.lease_end:
            self.last_lapsed_end = self.last_end
            for key in list(self.active):
                self.end_run(key, "lapsed")

    def extend_lease(self, deadline_ms):
        self.check_lease()
        self.lease_end = max(self.lease_end,
                             min(deadline_ms / 1000, self.clock() / 1000 + MAXIMUM_HOLD))

    async def watch_lease(self):
        while True:
            self.check_lease()
            await asyncio.sleep(0.01)

    def is_fenced(self, body):
        if body.get("fenceToken", 0) < self.token:
            return True
        self.token = body.get("fenceToken", 0)
        return False

    def run_start(self, body):
        key = (body["task"], body["runId"])
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        if key in self.active:
            return 200, {}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(body["deadlineMs"])
        if key[1] <= self.closed_runs.get(key[0], 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        self.active[key] = time.monotonic()
        self.record.write(f"runner {self.name}: run {key[0]} #{key[1]} starts, life {self.born}, "
                          f"token {self.token}")
        self.cluster.on_run_start(self, key)
        if spec["seconds"] is not None:
            life = self.born
            asyncio.get_running_loop().call_later(
                spec["seconds"], lambda: self.born == life and self.is_up
                and self.end_run(key, "done"))
        return 200, {}

    def run_stop(self, body):
        key = (body["task"], body["runId"])
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.record.write(f"runner {self.name}: stop of {key[0]} #{key[1]}")
        self.closed_runs[key[0]] = max(self.closed_runs.get(key[0], 0), key[1])
        self.end_run(key, "stopped")
        return 200, {}

    async def hold(self, body):
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.check_lease()
        for end in self.finished:
            if end[0] <= body["ackedSeq"]:
                self.cluster.on_end_noted(self, end)
        self.finished = [end for end in self.finished if end[0] > body["ackedSeq"]]
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        if body.get("waitMs") and not self.finished:
            self.run_ended.clear()
            try:
                await asyncio.wait_for(self.run_ended.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"active": [[task, run, "", self.percent(started), 0]
                                for (task, run), started in self.active.items()],
                     "finished": self.finished[:500], "born": self.born}

    @staticmethod
    def percent(started_at):
        return min(99, int((time.monotonic() - started_at) * 10))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, data = await read_message(reader)
                path, body = line.split()[1], json.loads(data or b"{}")
                if headers.get("expect-instance", self.name) != self.name:
                    status, response = 421, {}
                elif path == "/sapphirecrank/run-start":
                    status, response = self.run_start(body)
                elif path == "/sapphirecrank/run-stop":
                    status, response = self.run_stop(body)
                elif path == "/sapphirecrank/hold":
                    status, response = await self.hold(body)
                else:
                    status, response = 200, {}
                response["clockMs"] = self.clock()
                text = json.dumps(response).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def heartbeat(self):
        self.sequence += 1
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 32768, "gpus": 0}, "labels": self.labels,
                "clockMs": self.clock(), "seq": self.sequence, "born": self.born}

    async def send_heartbeats(self):
        await asyncio.sleep(self.first_heartbeat_delay)
        address = None
        next_node = 0
        while True:
            to = address or self.cluster.control_addresses[
                next_node % len(self.cluster.control_addresses)]
            status, _, response = await call(
                to, "POST", f"/sapphirecrank/Instances.Heartbeat/{self.name}", self.heartbeat())
            if self.sequence <= 2 or status != 200:
                self.record.write(f"runner {self.name}: heartbeat {self.sequence} of life "
                                  f"{self.born} to {to} answered with {status}")
            address = None
            if status == 200:
                address = json.loads(response).get("heartbeatAddr")
                self.heartbeat_address = address
                await asyncio.sleep(HEARTBEAT_INTERVAL)
            else:
                next_node += 1
                await asyncio.sleep(0.05)


class PeerProxy:
    """Forwards the peer connections to one process, and holds back those of cut pairs.

    A host names its own address in the first message of each connection, which is how the proxy
    tells the two ends. What is held back is delivered once the pair is joined again, as after a
    partition, unless one end has closed the connection by then.
    """

    def __init__(self, cluster, address):
        self.cluster, self.address = cluster, address

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.cluster.peer_port)

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(self.address,
                                                                 self.cluster.peer_bind_port)
        except OSError:
            writer.transport.abort()
            return
        connection = {"bytes": b"", "from": None}
        await asyncio.gather(self.forward(reader, to_writer, connection, True),
                             self.forward(to_reader, writer, connection, False))

    def find_sender(self, connection, data):
        """Looks for the sender's address in the first WebSocket frame, which is masked."""
        connection["bytes"] += data
        text = connection["bytes"]
        start = text.find(b"\r\n\r\n") + 4
        if start < 4 or len(text) < start + 2:
            return
        length = text[start + 1] & 127
        mask_start = start + {126: 4, 127: 10}.get(length, 2)
        mask, payload = text[mask_start:mask_start + 4], text[mask_start + 4:]
        if len(mask) < 4:
            return
        plain = bytes(b ^ mask[i % 4] for i, b in enumerate(payload))
        for address in self.cluster.allocators + self.cluster.gateways:
            if address != self.address and f"{address}:{self.cluster.peer_port}".encode() in plain:
                connection["from"], connection["bytes"] = address, b""

    async def forward(self, reader, writer, connection, is_from_client):
        try:
            while data := await reader.read(65536):
                if is_from_client and connection["from"] is None:
                    self.find_sender(connection, data)
                while frozenset((connection["from"], self.address)) in self.cluster.cut_pairs:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Cluster:
    """Three allocators and two gateways as separate processes, and what clients and runners saw."""

    def __init__(self, case_folder, allocator_count=3, gateway_count=2, zone_count=1,
                 has_peer_proxies=False):
        self.record = Record(case_folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-review-"))
        net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        self.allocators = [f"{net}.{i + 1}" for i in range(allocator_count)]
        self.gateways = [f"{net}.{i + 101}" for i in range(gateway_count)]
        (self.caller_port, self.readiness_port, self.control_port, self.peer_port,
         self.peer_bind_port) = self.free_ports()
        self.has_peer_proxies = has_peer_proxies
        # Pairs of hosts between which nothing passes.
        self.cut_pairs = set()
        # The machines of each role are spread over the zones.
        self.zones = {address: ZONES[i % zone_count] for group in (self.allocators, self.gateways)
                      for i, address in enumerate(group)}
        self.control_addresses = [f"{a}:{self.control_port}" for a in self.allocators]
        self.processes = {}
        self.runners = []
        self.running = {}
        self.start_listeners, self.end_listeners, self.noted_listeners = [], [], []
        self.was_started = set()
        self.job_count = 0
        self.version = 0
        # Control address of the node that acknowledged the last configuration.
        self.acknowledged_by = None

    def free_ports(self):
        ports = []
        candidate = 20000 + os.getpid() % 20000
        while len(ports) < 5:
            candidate += 1
            try:
                for address in self.allocators + self.gateways:
                    with socket.socket() as probe:
                        probe.bind((address, candidate))
                ports.append(candidate)
            except OSError:
                continue
        return ports

    def start_process(self, address):
        role = "allocator" if address in self.allocators else "gateway"
        settings = {"name": address, "data_centre": self.zones[address], "address": address,
                    "peer_port": self.peer_port, "seeds": self.control_addresses[:3],
                    "lost_disks_borne": 1, "longest_lease_ms": int(MAXIMUM_HOLD * 1000),
                    "resubmission_delay_ms": int(RETRANSMIT * 1000), "job_retention_s": 120,
                    "bootstrap": address not in self.was_started}
        if self.has_peer_proxies:
            settings["peer_bind_port"] = self.peer_bind_port
        if role == "gateway":
            settings["caller_listen"] = f"{address}:{self.caller_port}"
            settings["readiness_listen"] = f"{address}:{self.readiness_port}"
        else:
            settings["control_listen"] = f"{address}:{self.control_port}"
            settings["data_folder"] = str(self.folder / f"data-{address}")
            pathlib.Path(settings["data_folder"]).mkdir(exist_ok=True)
        self.was_started.add(address)
        path = self.folder / f"{address}.json"
        path.write_text(json.dumps(settings))
        log = open(self.folder / f"{address}.log", "a")
        self.processes[address] = subprocess.Popen(
            [PROGRAM, role, "--settings", path], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record.write(f"process {role} {address} started")

    def cut(self, address, others):
        """Partitions `address` from each of `others`."""
        self.record.write(f"partition: {address} from {others}")
        self.cut_pairs |= {frozenset((address, other)) for other in others}

    def join(self):
        """Ends all partitions."""
        self.record.write("partition: ended")
        self.cut_pairs.clear()

    def signal(self, address, number):
        self.record.write(f"process {address} gets {signal.Signals(number).name}")
        self.processes[address].send_signal(number)

    async def start(self, routes, runners):
        """Starts the processes and runners, and waits until the configuration is in force."""
        if not PROGRAM.exists():
            raise CannotRun("target/sapphirecrank is not built")
        if self.has_peer_proxies:
            for address in self.allocators + self.gateways:
                await PeerProxy(self, address).start()
        for address in self.allocators + self.gateways:
            self.start_process(address)
        self.runners = runners
        for runner in runners:
            await runner.start()
        await self.put_configuration(routes)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answers = [await call(f"{g}:{self.readiness_port}", "GET", "/sapphirecrank/ready")
                       for g in self.gateways]
            if all(status == 200 for status, _, _ in answers):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the gateways aren't ready after 20 s")
        # All runners are registered and adopted after two heartbeats.
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL)

    async def put_configuration(self, routes):
        self.version += 1
        body = {"version": self.version, "routes": routes,
                "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                              "protocol": "h1", "tls": False, "admissionControl": False,
                              "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        end = time.monotonic() + 15
        attempt = 0
        while time.monotonic() < end:
            address = self.control_addresses[attempt % len(self.control_addresses)]
            attempt += 1
            for _ in range(3):
                status, headers, _ = await call(address, "POST", "/sapphirecrank/Config.Put", body)
                if status != 307:
                    break
                address = headers["location"].split("/")[2]
            if status == 200:
                self.record.write(f"operator: configuration {self.version} acknowledged by {address}")
                self.acknowledged_by = address
                return
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def new_job_id(self):
        self.job_count += 1
        return f"{self.job_count:016x}"

    async def client_call(self, gateway, method, path, body=None, deadline=1.5, timeout=None):
        shown = "" if body is None else " " + json.dumps(body)
        self.record.write(f"client: {method} {path} to {gateway}{shown}")
        status, _, response = await call(
            f"{gateway}:{self.caller_port}", method, path, body,
            [f"Deadline-Ms: {int(deadline * 1000)}"], timeout=timeout or deadline)
        text = response.decode(errors="replace")
        self.record.write(f"client: {method} {path} answered with {status} {text}")
        return status, text

    def on_run_start(self, runner, key):
        for listener in self.start_listeners:
            listener(runner, key)
        self.running.setdefault(key[0], set()).add((runner.name, key[1]))

    def on_run_end(self, runner, key, how):
        self.on_run_gone(runner, key)
        for listener in self.end_listeners:
            listener(runner, key, how)

    def on_run_gone(self, runner, key):
        self.running.get(key[0], set()).discard((runner.name, key[1]))

    def on_end_noted(self, runner, end):
        for listener in self.noted_listeners:
            listener(runner, end)

    def running_count(self, job):
        return sum(len(runs) for task, runs in self.running.items() if task.startswith(job + "."))

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class TwiceChecker:
    """TWICE, for stored jobs without `speculative`."""

    def __init__(self, cluster):
        self.cluster, self.breaks = cluster, []
        self.done, self.started_after_done, self.noted = {}, {}, set()
        cluster.start_listeners.append(self.on_start)
        cluster.end_listeners.append(self.on_end)
        cluster.noted_listeners.append(self.on_noted)

    def on_start(self, runner, key):
        task = key[0]
        for name, run in self.cluster.running.get(task, ()):
            self.breaks.append(f"run {task} #{key[1]} starts on {runner.name} while run #{run} of "
                               f"the task is active on {name}")
        for life, run in self.done.get(task, ()):
            self.started_after_done.setdefault((life, task, run), []).append(
                f"run {task} #{key[1]} starts on {runner.name} after run #{run} has ended done on "
                f"{life[0]}, and that end is taken note of")

    def on_end(self, runner, key, how):
        if how == "done":
            self.done.setdefault(key[0], []).append(((runner.name, runner.born), key[1]))

    def on_noted(self, runner, end):
        if end[3] == "done" and not runner.has_lapsed_since(end[0]):
            self.noted.add(((runner.name, runner.born), end[1], end[2]))

    def all_breaks(self):
        return self.breaks + [text for end, texts in self.started_after_done.items()
                              if end in self.noted for text in texts]


def route(prefix, priority=0, timeout_ms=1500, name=None):
    return {"name": name or f"r-{prefix.strip('/')}", "host": HOST, "pathPrefix": prefix,
            "kind": "unsafe", "timeoutMs": timeout_ms, "sloMs": 60, "priority": priority,
            "service": SERVICE, "maxAttempts": 4, "stretch": 1.6}


def spec(seconds):
    return json.dumps({"seconds": seconds})


def run_case(case_folder, play, **options):
    """Runs `play(cluster)`, which returns the breaks of the rule. Exits with 0, 1 or 2."""
    async def main():
        cluster = Cluster(pathlib.Path(case_folder), **options)
        try:
            breaks = await asyncio.wait_for(play(cluster), 110)
        except (CannotRun, asyncio.TimeoutError) as error:
            cluster.record.write(f"RESULT: the case couldn't run: {error!r}")
            print(f"the case couldn't run: {error!r}")
            return 2
        finally:
            cluster.stop()
        for text in breaks:
            cluster.record.write(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        result = "the rule was broken" if breaks else "the rule held"
        cluster.record.write(f"RESULT: {result} (TROUBLE={int(TROUBLE)})")
        print(f"{result} (TROUBLE={int(TROUBLE)})")
        return 1 if breaks else 0

    try:
        code = asyncio.run(main())
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case couldn't run: {error!r}")
        code = 2
    sys.exit(code)
