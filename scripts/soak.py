#!/usr/bin/env python3
"""Randomised fault soak of gateways and allocators as separate processes on loopback.

Three allocators and two gateways run as real processes on addresses of their own (127.0.N.x). This
program simulates the targets, the callers and the operator with the published protocol, and injects
faults from outside:
- Processes are killed, paused and stopped by signals.
- A proxy in front of each target and of each host's peer port delays, resets or stalls its
  connections, in one or both directions.
- Targets crash, and other ones join in their place; or they start again under their ids, and send
  their first report early or late.
- The only target that can hold the largest tasks, or the only one with a label, is down for some
  seconds.
- Allocators, also the leader, and gateways stand still for 0.7 to 2 s several times in a row, one
  or two of them at once.
- A target is cut off from all allocators while an allocator, which may become its owner, is
  restarted. Many of its tasks fail meanwhile.
- One allocator is cut off from the other two, which may be killed when the cut ends.
- Allocators lose their disks, one at a time, or their disks are full.
- An allocator is replaced: it is killed, or stopped after its successor has started, and never
  returns. The successor has a new address and an empty disk. Some replacements follow another lost
  disk as soon as that one no longer counts as lost, hit the leader, or come while another allocator
  is cut off, paused or restarted. Processes learn the new address from their peers; in some runs
  SIGHUP also announces it. A process gets new seeds when it starts.
Jumps of the clock are not simulated, because the hosts use the time of day only in their logs.

Checked during the run, from what callers and targets observe:
- No target gets more work than its capacity, or a task that requires a label it doesn't have.
- No task has two runs at the same time.
- No job whose submissions were all refused has a started task.
- No read of the configuration returns a version older than one that was acknowledged more than
  CONFIGURATION_DELAY before the read.
- No task of a stored job is started after a run of it succeeded and was acknowledged, before the
  previous step is done, or more than CANCEL_DELAY after its job was cancelled.
- No task is started in an evacuated data centre later than EVACUATION_DELAY after the
  acknowledgement of its evacuation and before a finish of it is sent.
- No stored job is unknown more than VISIBLE_DELAY after it was accepted, or reported as completed
  before all its tasks are done.
- While no allocator counts as lost, a change of the configuration is acknowledged within
  ACKNOWLEDGEMENT_DELAY and read back from all allocators within CONFIGURATION_DELAY. This is checked
  after some replacements, with the injection of faults suspended, and after the last fault.
Checked at the end, after the faults: jobs are served again, all stored jobs have ended, and the
newest acknowledged configuration and the last acknowledged evacuations are read back from the
allocators that exist then.

Usage: soak.py [--seed N] [--seeds COUNT] [--seconds S] [--faults KIND,...] [--program PATH]
[--pause S] [--subnet N] [--omit-catch-up] [--omit-evacuations]. The exit code is 1 if a check
failed; the logs of the processes are then kept, and their folder is printed.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_PROGRAM = ROOT / "build/release/src/sapphirecrank"
# Addresses, set from --subnet. ALLOCATORS is the operator's list of the allocators at present;
# FORMER_ALLOCATORS holds the addresses of those that were replaced.
ALLOCATORS, FORMER_ALLOCATORS, GATEWAYS = [], [], []
FIRST_SUCCESSOR_NUMBER = 21  # Last number of the address of the first successor.
CALLER_PORT, READINESS_PORT, CONTROL_PORT, PEER_PORT = 18761, 18762, 18763, 18764
# Port on which hosts listen for peers. The proxy of each host forwards PEER_PORT to it.
PEER_BIND_PORT = 18765
TARGET_COUNT = 6
TARGET_MILLI_PROCESSORS = 16000
# The first target is larger than the others. Only it can hold tasks of LARGE_TASK_MILLI_PROCESSORS.
LARGE_TARGET_MILLI_PROCESSORS, LARGE_TASK_MILLI_PROCESSORS = 24000, 20000
LARGE_JOB_SHARE = 0.1
# Only this target has the label that a share of the stored jobs requires.
SCARCE_TARGET, SCARCE_LABEL, SCARCE_JOB_SHARE = 1, "b", 0.15
# Lengths of standstills in a row and of the pauses between them, in seconds. A host counts another
# one as lost after a second.
STANDSTILL_TIMES, STANDSTILL_PAUSES = [(0.7, 0.9), (0.9, 1.1), (1.1, 2.0)], (0.3, 0.7)
# Shares of the tasks that fail, ordinarily and on a target that is about to be cut off.
FAILURE_SHARE, FAILURE_SHARE_BEFORE_CUT = 0.01, 0.5
# Times in seconds.
MAXIMUM_LEASE = 1.0
HEARTBEAT_INTERVAL = 0.5
RESUBMISSION_DELAY = 1.3
# "silent" stalls both directions of a connection, "there" only the data to the server and "back"
# only the data to the client.
LINK_FAULT_KINDS = ["silent", "there", "back", "delay", "reset"]
FAULT_KINDS = ["kill", "kill", "term", "pause", "hup", "crash", "reborn", "reborn", "cut",
               "cut-and-kill", "wipe", "replace", "full", "lose-large", "lose-scarce",
               "owner-change", "standstills", "standstills",
               *LINK_FAULT_KINDS,
               *(f"peer-{kind}" for kind in LINK_FAULT_KINDS)]
CONFIGURATION_DELAY = 2.0
# Limit in the settings for the time until an acknowledged evacuation is in force everywhere.
EVACUATION_DELAY = 5.0
# Data centres of targets. The first one is that of the hosts. The second one is that of the last
# targets, and the only one that is evacuated, so that the first target, the only one that can hold
# the largest tasks, stays in use.
DATA_CENTRES = ["soak", "other"]
EVACUATED_DATA_CENTRE = DATA_CENTRES[1]
OTHER_DATA_CENTRE_TARGETS = 2
# Bounds for stored jobs in seconds, as in the platform's documentation.
VISIBLE_DELAY, CANCEL_DELAY = 3.0, 3.0
RECOVERY_LIMIT = 40.0
# The settings tolerate one lost disk. A host, and with it its disk, counts as lost until it has been
# back, or its successor has been up, for this many seconds.
CATCH_UP_TIME = 4.0
# A change of the configuration is acknowledged within this many seconds while no host counts as lost.
ACKNOWLEDGEMENT_DELAY = 4.0
# Seeds may be those of the operator's list this many seconds before the process started.
SEED_DELAY = 3.0
# The protocol says how many redirects a caller follows.
MAXIMUM_REDIRECTS = 2
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


async def call(address, method, path, body=None, headers=(), timeout=2.0, redirects=0):
    """Makes one call; returns (status, body), with status 0 if there was no response.

    Follows as many redirects as given; the timeout applies to each call.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        line, response_headers, response = await read_message(reader)
        return int(line.split()[1]), response, response_headers.get("location", "")

    try:
        status, response, location = await asyncio.wait_for(exchange(), timeout)
        if status == 307 and redirects > 0 and location:
            leader = location.removeprefix("http://").split("/")[0]
            return await call(leader, method, path, body, headers, timeout, redirects - 1)
        return status, response
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Checks:
    """Collects violations, counts for the report and a log of events."""

    def __init__(self, folder):
        self.event_log = open(folder / "events.log", "w")
        self.violations = []
        self.running_targets = {}
        self.started_jobs = set()
        self.stored_job_steps, self.cancelled_at = {}, {}
        self.jobs_with_label = set()
        # Tasks of which a run succeeded, those of them whose success was acknowledged to the
        # target, and when each task was started last.
        self.succeeded_tasks, self.acknowledged_tasks, self.last_started_at = set(), set(), {}
        # For each evacuated data centre, the time after which nothing may start there.
        self.evacuated_after = {}
        self.counts = {}

    def log_event(self, text):
        self.event_log.write(f"{time.time():.3f} {text}\n")

    def record_violation(self, text):
        self.log_event(text)
        self.violations.append(f"{time.time():.3f} {text}")

    def on_start(self, task):
        """Checks the start of a task of a stored job."""
        job, _, step, _ = task.split(".")
        if job not in self.stored_job_steps:
            return
        if task in self.acknowledged_tasks:
            self.record_violation(
                f"TWICE: {task} started after a successful run of it was acknowledged")
        self.last_started_at[task] = time.monotonic()
        if int(step) > 0 and not all(t in self.succeeded_tasks
                                     for t in self.tasks_of_step(job, int(step) - 1)):
            self.record_violation(f"ORDER: {task} started before the previous step was done")
        if time.monotonic() > self.cancelled_at.get(job, float("inf")) + CANCEL_DELAY:
            self.record_violation(f"UNASKED: {task} started after its job was cancelled")

    def tasks_of_step(self, job, step):
        return [f"{job}.0.{step}.{i}" for i in range(self.stored_job_steps[job][step])]

    def on_acknowledged(self, task, end_time):
        """Checks a successful run whose end the owner of the target has acknowledged."""
        self.acknowledged_tasks.add(task)
        if self.last_started_at.get(task, 0) > end_time:
            self.record_violation(
                f"TWICE: {task} started again after a successful run whose end is acknowledged")

    def on_start_in(self, data_centre, target, key):
        """Checks the start of any task on a target in the data centre."""
        limit = self.evacuated_after.get(data_centre, float("inf"))
        if time.monotonic() > limit:
            self.record_violation(f"EVACUATION: {key} started on {target} in {data_centre} "
                                  f"{time.monotonic() - limit:.2f} s after the limit")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1


class Target:
    """A target without admission control, with a lease, a fencing token and lists of its runs.

    It accepts each start that the protocol allows, so that the checks see starts beyond its
    capacity.
    """

    def __init__(self, name, checks, rng, capacity, data_centre=DATA_CENTRES[0], label="a"):
        self.name, self.checks, self.rng, self.capacity = name, checks, rng, capacity
        self.data_centre, self.label = data_centre, label
        self.failure_share = FAILURE_SHARE
        self.incarnation_count = 0
        self.is_up = True
        self.next_heartbeat_at = 0.0
        self.start_incarnation()

    def start_incarnation(self, keeps_id=False):
        for key in [k for k, t in self.checks.running_targets.items() if t is self]:
            del self.checks.running_targets[key]
        if not keeps_id:
            self.incarnation_count += 1
            self.id = f"{self.name}-{self.incarnation_count}"
        self.incarnation = time.time_ns() // 1000000
        self.incarnation_started_at = time.monotonic()
        (self.fencing_token, self.lease_end, self.last_end_number,
         self.heartbeat_count) = 0, 0.0, 0, 0
        self.active_runs, self.finished_runs, self.highest_ended_runs = {}, [], {}
        # Sequence number of the last run end before the lease last expired. Acknowledgements of the
        # ends up to it don't count.
        self.last_expired_end = 0
        self.end_times = {}
        self.run_ended = asyncio.Event()

    async def restart(self, proxy, down_time, heartbeat_delay):
        """Ends the target with its connections, and starts it again under the same id."""
        if not self.is_up:
            return
        self.is_up = False
        self.checks.log_event(f"{self.id}: incarnation {self.incarnation} ends, "
                              f"active {list(self.active_runs)}")
        # Nothing of the ended incarnation runs while the target is down.
        self.start_incarnation(keeps_id=True)
        proxy.reset()
        await asyncio.sleep(down_time)
        self.start_incarnation(keeps_id=True)
        self.next_heartbeat_at = time.monotonic() + heartbeat_delay
        self.is_up = True
        self.checks.log_event(f"{self.id}: incarnation {self.incarnation} begins")

    def clock(self):
        return int((time.monotonic() - self.incarnation_started_at) * 1000)

    def end_run(self, key, outcome):
        processors = self.active_runs.pop(key, None)
        if processors is None:
            return
        if self.checks.running_targets.get(key[0]) is self:
            del self.checks.running_targets[key[0]]
        self.checks.log_event(f"{self.id}: {outcome} {key}")
        self.highest_ended_runs[key[0]] = max(self.highest_ended_runs.get(key[0], 0), key[1])
        if outcome == "done":
            self.checks.succeeded_tasks.add(key[0])
        self.last_end_number += 1
        self.end_times[self.last_end_number] = time.monotonic()
        self.finished_runs.append([self.last_end_number, key[0], key[1], outcome, ""])
        self.run_ended.set()

    def extend_lease(self, deadline_ms):
        self.check_lease()
        self.lease_end = max(self.lease_end,
                             min(deadline_ms / 1000, self.clock() / 1000 + MAXIMUM_LEASE))

    def check_lease(self):
        if self.clock() / 1000 > self.lease_end:
            self.last_expired_end = self.last_end_number
            for key in list(self.active_runs):
                self.end_run(key, "lapsed")

    def run_start(self, body):
        if body["fenceToken"] < self.fencing_token:
            return 409, {"reason": "fence"}
        self.fencing_token = body["fenceToken"]
        key = (body["task"], body["runId"])
        if key in self.active_runs:
            return 200, {}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        if key[1] <= self.highest_ended_runs.get(key[0], 0):
            return 409, {"reason": "old"}
        self.extend_lease(body["deadlineMs"])
        self.checks.log_event(f"{self.id}: started {key}, token {self.fencing_token}, "
                              f"lease {self.lease_end:.3f}, clock {self.clock()}")
        spec = json.loads(body["spec"])
        if sum(self.active_runs.values()) + spec["cpu"] > self.capacity:
            self.checks.record_violation(f"LIMIT: {key} exceeds the capacity of {self.id}, "
                                         f"active {list(self.active_runs)}")
        if key[0] in self.checks.running_targets:
            self.checks.record_violation(
                f"TWICE: {key} started on {self.id} while the task runs on "
                f"{self.checks.running_targets[key[0]].id}")
        if key[0].split(".")[0] in self.checks.jobs_with_label and self.label != SCARCE_LABEL:
            self.checks.record_violation(f"ROUTE: {key} requires a label that {self.id} lacks")
        self.active_runs[key] = spec["cpu"]
        self.checks.running_targets[key[0]] = self
        self.checks.started_jobs.add(key[0].split(".")[0])
        self.checks.on_start(key[0])
        self.checks.on_start_in(self.data_centre, self.id, key)
        self.checks.count("runs")
        incarnation = self.incarnation
        outcome = "failed" if self.rng.random() < self.failure_share else "done"
        asyncio.get_running_loop().call_later(
            spec["seconds"], lambda: self.incarnation == incarnation and self.end_run(key, outcome))
        return 200, {}

    def run_stop(self, body):
        if body["fenceToken"] < self.fencing_token:
            return 409, {"reason": "fence"}
        self.fencing_token = body["fenceToken"]
        key = (body["task"], body["runId"])
        self.checks.log_event(f"{self.id}: stop requested for {key}")
        self.highest_ended_runs[key[0]] = max(self.highest_ended_runs.get(key[0], 0), key[1])
        self.end_run(key, "stopped")
        return 200, {}

    async def poll(self, body):
        if body["fenceToken"] < self.fencing_token:
            return 409, {"reason": "fence"}
        self.fencing_token = body["fenceToken"]
        self.check_lease()
        for end in self.finished_runs:
            if self.last_expired_end < end[0] <= body["ackedSeq"] and end[3] == "done":
                self.checks.on_acknowledged(end[1], self.end_times[end[0]])
        self.finished_runs = [end for end in self.finished_runs if end[0] > body["ackedSeq"]]
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        if body.get("waitMs") and not self.finished_runs:
            self.run_ended.clear()
            try:
                await asyncio.wait_for(self.run_ended.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"active": [[k[0], k[1], "", 0, 0] for k in self.active_runs],
                     "finished": self.finished_runs}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, data = await read_message(reader)
                if not self.is_up:
                    return
                path, body = line.split()[1], json.loads(data)
                if headers.get("expect-instance") != self.id:
                    status, response = 421, {}
                elif path.endswith("/run-start"):
                    status, response = self.run_start(body)
                elif path.endswith("/run-stop"):
                    status, response = self.run_stop(body)
                else:
                    status, response = await self.poll(body)
                response.update(clockMs=self.clock(), born=self.incarnation)
                text = json.dumps(response).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                             + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send_heartbeats(self):
        """Sends heartbeats to the address in the last response, or to a random allocator."""
        address = None
        while True:
            while not self.is_up or time.monotonic() < self.next_heartbeat_at:
                await asyncio.sleep(0.01)
            self.check_lease()
            self.heartbeat_count += 1
            body = {"service": SERVICE, "address": self.address, "zone": self.data_centre, "version": "v1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": self.heartbeat_count,
                    "capacity": {"cpu": self.capacity, "memMb": 1024, "gpus": 0},
                    "born": self.incarnation, "labels": [self.label, "r1"], "clockMs": self.clock()}
            to = address or f"{self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
            status, response = await call(
                to, "POST", f"/sapphirecrank/Instances.Heartbeat/{self.id}", body, timeout=1.0)
            address = json.loads(response).get("heartbeatAddr") if status == 200 else None
            await asyncio.sleep(HEARTBEAT_INTERVAL if status == 200 else 0.1)

    async def watch_lease(self):
        while True:
            self.check_lease()
            await asyncio.sleep(0.01)


class Sender:
    """Finds out which host has opened a connection to a peer port.

    The host names itself in the first WebSocket frame, whose payload is masked with 4 bytes.
    """

    HEAD_SIZES = {126: 4, 127: 10}

    def __init__(self):
        self.received, self.address = b"", None

    def on_data(self, data):
        if self.address is not None or len(self.received) > 65536:
            return
        self.received += data
        start = self.received.find(b"\r\n\r\n") + 4
        if start < 4 or len(self.received) < start + 2:
            return
        size = self.received[start + 1] & 0x7f
        mask_start = start + self.HEAD_SIZES.get(size, 2)
        mask = self.received[mask_start:mask_start + 4]
        payload = self.received[mask_start + 4:]
        text = bytes(byte ^ mask[i % 4] for i, byte in enumerate(payload))
        # "host" is a text string of CBOR: a byte with its length precedes the address.
        for address in [*ALLOCATORS, *FORMER_ALLOCATORS, *GATEWAYS]:
            if b"dhost" + bytes([0x60 + len(address)]) + address.encode() in text:
                self.address = address


class Proxy:
    """Forwards connections to a target or a host, and injects the fault of its mode."""

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.mode = "pass"
        # Hosts whose connections to this one pass nothing in either direction.
        self.cut_off_hosts = set()
        self.writers = set()
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, self.address, port)

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(self.address, self.port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, to_writer}
        sender = Sender()
        try:
            await asyncio.gather(self.forward(reader, to_writer, "there", sender),
                                 self.forward(to_reader, writer, "back", sender))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, to_writer}

    async def forward(self, reader, writer, direction, sender):
        try:
            while data := await reader.read(65536):
                if direction == "there":
                    sender.on_data(data)
                if self.mode == "delay":
                    await asyncio.sleep(0.6)
                while self.mode in ("silent", direction) or sender.address in self.cut_off_hosts:
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
    """A gateway or allocator process, which this program starts and ends."""

    def __init__(self, program, folder, role, address, seeds, is_successor=False,
                 catch_up_time=CATCH_UP_TIME, evacuates=True):
        self.program, self.folder, self.role, self.address = program, folder, role, address
        self.seeds, self.catch_up_time, self.evacuates = seeds, catch_up_time, evacuates
        self.data = folder / f"data-{address}"
        self.peer_proxy = Proxy(address, PEER_BIND_PORT)
        # The number of faults because of which the host counts as lost, and until when it counts
        # as lost after them.
        self.loss_count, self.lost_until = 0, time.monotonic() + CATCH_UP_TIME
        self.process = None
        self.has_active_fault = False
        self.bootstrap, self.was_started = not is_successor, False

    def counts_as_lost(self):
        return self.loss_count > 0 or time.monotonic() < self.lost_until

    @contextlib.contextmanager
    def lose(self):
        """Counts the host as lost within the block and for CATCH_UP_TIME after it."""
        self.loss_count += 1
        try:
            yield
        finally:
            self.loss_count -= 1
            self.lost_until = time.monotonic() + CATCH_UP_TIME

    def write_settings(self):
        settings = {"name": self.address, "data_centre": "soak", "address": self.address,
                    "peer_port": PEER_PORT, "peer_bind_port": PEER_BIND_PORT,
                    "seeds": [f"{a}:{CONTROL_PORT}" for a in self.seeds],
                    "longest_lease_ms": int(MAXIMUM_LEASE * 1000)}
        if self.role == "gateway":
            settings["caller_listen"] = f"{self.address}:{CALLER_PORT}"
            settings["readiness_listen"] = f"{self.address}:{READINESS_PORT}"
        else:
            self.data.mkdir(exist_ok=True)
            settings.update(control_listen=f"{self.address}:{CONTROL_PORT}",
                            data_folder=str(self.data),
                            bootstrap=self.bootstrap, lost_disks_borne=1)
        if self.evacuates:
            settings.update(data_centres=DATA_CENTRES,
                            evacuation_limit_ms=int(EVACUATION_DELAY * 1000))
        if self.catch_up_time is not None:
            settings["catch_up_s"] = self.catch_up_time
        path = self.folder / f"{self.address}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, seeds=None):
        """Starts the process, with the given seeds or else those it had."""
        if self.was_started:
            self.bootstrap = False
        self.was_started = True
        self.seeds = seeds or self.seeds
        path = self.write_settings()
        log = open(self.folder / f"{self.address}.log", "a")
        self.process = subprocess.Popen([self.program, self.role, "--settings", path], stdout=log,
                                        stderr=log)

    def limit_file_size(self, size):
        """Makes writes beyond `size` bytes of a file fail, as on a full disk."""
        if self.process is not None and self.process.poll() is None:
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                             (size, resource.RLIM_INFINITY))

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """One soak with one seed: the processes, targets, callers and faults."""

    def __init__(self, program, fault_kinds, seed, seconds, maximum_pause, folder,
                 catch_up_time=CATCH_UP_TIME, evacuates=True):
        self.rng = random.Random(seed)
        # Draws for replacements and seeds.
        self.replacement_rng = random.Random(f"replacements {seed}")
        # Draws for large jobs and changes of owners.
        self.placement_rng = random.Random(f"placements {seed}")
        # Draws for jobs that require a label, and for standstills.
        self.scarce_rng = random.Random(f"scarce targets {seed}")
        self.standstill_rng = random.Random(f"standstills {seed}")
        # Draws for evacuations.
        self.evacuation_rng = random.Random(f"evacuations {seed}")
        self.program, self.catch_up_time, self.evacuates = program, catch_up_time, evacuates
        self.fault_kinds, self.seconds, self.folder = fault_kinds, seconds, folder
        self.maximum_pause = maximum_pause
        self.checks = Checks(folder)
        self.hosts = [Host(program, folder, role, address, list(ALLOCATORS),
                           catch_up_time=catch_up_time, evacuates=evacuates)
                      for role, addresses in (("allocator", ALLOCATORS), ("gateway", GATEWAYS))
                      for address in addresses]
        # The last acknowledged order for the evacuation, "Start" or "Finish", and whether another
        # one was sent after it.
        self.last_evacuation_order, self.has_later_order = "Finish", False
        self.last_successor_number = FIRST_SUCCESSOR_NUMBER - 1
        # Former states of the operator's list, each with the time at which it was replaced.
        self.former_lists = []
        self.announces_seeds = self.replacement_rng.random() < 0.5
        self.cut_off_hosts = []
        # Held while a disk counts as lost.
        self.disk_loss = asyncio.Lock()
        # The number of reasons for which no new faults are injected at present.
        self.fault_suspensions = 0
        self.version, self.acknowledged_versions = 0, []
        self.last_job_number = 0
        self.is_stopping = False

    def allocator_hosts(self):
        return [h for h in self.hosts if h.role == "allocator"]

    def draw_seeds(self):
        """Returns the operator's list at a random time within the last SEED_DELAY."""
        drawn = time.monotonic() - self.replacement_rng.uniform(0, SEED_DELAY)
        for replaced_at, addresses in self.former_lists:
            if drawn < replaced_at:
                return list(addresses)
        return list(ALLOCATORS)

    def update_list(self, added=None, removed=None):
        self.former_lists.append((time.monotonic(), list(ALLOCATORS)))
        if removed is not None:
            ALLOCATORS.remove(removed)
            FORMER_ALLOCATORS.append(removed)
        if added is not None:
            ALLOCATORS.append(added)

    async def put_configuration(self):
        self.version += self.rng.randint(1, 3)
        route = {"name": "r", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
                 "service": SERVICE, "timeoutMs": 1500 + self.version, "sloMs": 500,
                 "priority": 0, "maxAttempts": 3, "stretch": 2.0}
        body = {"version": self.version, "routes": [route], "services": [{"name": SERVICE}],
                "limits": {}}
        address = f"{self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
        status, _ = await call(address, "POST", "/sapphirecrank/Config.Put", body, timeout=1.5,
                               redirects=MAXIMUM_REDIRECTS)
        self.checks.log_event(
            f"configuration {body['version']} sent to {address}: status {status}")
        if status == 200:
            self.acknowledged_versions.append((time.monotonic(), self.version))
            self.checks.count("configurations")
        return status == 200

    async def read_configuration(self, allocator=None):
        """Reads from the given allocator, or from a random one; returns None without a response."""
        requested_at = time.monotonic()
        acknowledged = [version for at, version in self.acknowledged_versions
                        if at + CONFIGURATION_DELAY < requested_at]
        address = f"{allocator or self.rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
        status, body = await call(address, "GET", "/sapphirecrank/Config.Get", timeout=1.5,
                                  redirects=MAXIMUM_REDIRECTS)
        if status != 200:
            return None
        version = json.loads(body)["version"]
        if acknowledged and version < max(acknowledged):
            self.checks.record_violation(f"CONFIG: {address} returned version {version}, "
                                         f"expected at least {max(acknowledged)}")
        return version

    async def order_evacuation(self, order):
        """Sends the order until it is acknowledged; returns whether it was within a few attempts."""
        if order == "Finish":
            self.checks.evacuated_after.pop(EVACUATED_DATA_CENTRE, None)
        self.has_later_order = True
        for _ in range(5):
            address = f"{self.evacuation_rng.choice(ALLOCATORS)}:{CONTROL_PORT}"
            path = f"/sapphirecrank/Evacuations.{order}/{EVACUATED_DATA_CENTRE}"
            status, _ = await call(address, "POST", path, timeout=1.0, redirects=MAXIMUM_REDIRECTS)
            self.checks.log_event(f"evacuation order {order} sent to {address}: status {status}")
            if status == 200:
                self.last_evacuation_order, self.has_later_order = order, False
                if order == "Start":
                    self.checks.evacuated_after.setdefault(
                        EVACUATED_DATA_CENTRE, time.monotonic() + EVACUATION_DELAY)
                self.checks.count(f"evacuation orders {order}")
                return True
        return False

    async def run_evacuations(self):
        while not self.is_stopping:
            await asyncio.sleep(self.evacuation_rng.uniform(0.1, 4.0))
            await self.order_evacuation(self.evacuation_rng.choice(["Start", "Start", "Finish"]))

    async def has_last_evacuation_order(self):
        """Tells whether all allocators act on the last acknowledged order."""
        for address in list(ALLOCATORS):
            status, body = await call(f"{address}:{CONTROL_PORT}", "GET", "/v1/evacuations")
            if status != 200:
                return False
            evacuated = [e["data_centre"] for e in json.loads(body)["evacuations"]]
            expected = [EVACUATED_DATA_CENTRE] if self.last_evacuation_order == "Start" else []
            if evacuated != expected:
                return False
        return True

    async def run_job(self):
        """Submits a job until it has a final response; returns whether it was completed."""
        self.last_job_number += 1
        job = f"{self.last_job_number:016x}"
        cpu = self.rng.choice([3000, 5000, 7000])
        spec = json.dumps({"cpu": cpu, "seconds": self.rng.choice([0.02, 0.05, 0.2, 0.6])})
        body = {"spec": spec, "bestEffort": True,
                "steps": [{"count": self.rng.randint(1, 5), "cpu": cpu, "memMb": 1,
                           "estRuntimeMs": 200}]}
        statuses = []
        for _ in range(3):
            gateway = self.rng.choice(GATEWAYS)
            self.checks.log_event(f"job {job} submitted to {gateway}")
            status, response = await call(
                f"{gateway}:{CALLER_PORT}", "POST", PREFIX + job, body,
                ["Deadline-Ms: 1500", f"request-id: {job}"], timeout=1.5)
            self.checks.log_event(f"job {job} answered with status {status}")
            statuses.append(status)
            if status in (200, 404, 429, 503):
                break
            await asyncio.sleep(RESUBMISSION_DELAY)
        self.checks.count(f"jobs answered {statuses[-1]}")
        if all(s in (429, 503) for s in statuses):
            # Tasks that start after the refusal are violations as well.
            await asyncio.sleep(1.0)
            if job in self.checks.started_jobs:
                self.checks.record_violation(f"REFUSED: {job} was refused and has started")
        return statuses[-1] == 200 and json.loads(response).get("state") == "completed"

    async def call_gateway(self, method, path, body=None):
        gateway = self.rng.choice(GATEWAYS)
        return await call(f"{gateway}:{CALLER_PORT}", method, PREFIX + path, body,
                          ["Deadline-Ms: 1500"], timeout=1.5)

    async def run_stored_job(self):
        """Submits a stored job and polls it until its end."""
        self.last_job_number += 1
        job = f"{self.last_job_number:016x}"
        cpu = self.rng.choice([3000, 5000, 7000])
        spec = json.dumps({"cpu": cpu, "seconds": self.rng.choice([0.02, 0.2, 0.6, 2.0])})
        counts = [self.rng.randint(1, 4) for _ in range(self.rng.randint(1, 3))]
        if self.placement_rng.random() < LARGE_JOB_SHARE:
            cpu, counts = LARGE_TASK_MILLI_PROCESSORS, [1]
            spec = json.dumps({"cpu": cpu, "seconds": 0.2})
            self.checks.count("large stored jobs")
        requirement = {}
        if cpu != LARGE_TASK_MILLI_PROCESSORS and self.scarce_rng.random() < SCARCE_JOB_SHARE:
            requirement = {"requires": SCARCE_LABEL}
            self.checks.jobs_with_label.add(job)
            self.checks.count("stored jobs that require a label")
        steps = [{"count": count, "cpu": cpu, "memMb": 1, "estRuntimeMs": 200, **requirement,
                  **({"after": [i - 1]} if i > 0 else {})} for i, count in enumerate(counts)]
        self.checks.stored_job_steps[job] = counts
        statuses = []
        for _ in range(4):
            status, _ = await self.call_gateway("POST", job, {"spec": spec, "steps": steps})
            self.checks.log_event(f"stored job {job} answered with status {status}")
            statuses.append(status)
            if status in (200, 404, 429, 503):
                break
            await asyncio.sleep(RESUBMISSION_DELAY)
        self.checks.count(f"stored jobs answered {statuses[-1]}")
        if statuses[-1] == 200:
            await self.poll_stored_job(job, time.monotonic())
        elif all(s in (429, 503) for s in statuses):
            await asyncio.sleep(1.0)
            if job in self.checks.started_jobs:
                self.checks.record_violation(f"REFUSED: {job} was refused and has started")

    async def poll_stored_job(self, job, accepted_at):
        cancels = self.rng.random() < 0.15
        if cancels:
            await asyncio.sleep(self.rng.random())
        end = accepted_at + self.seconds + RECOVERY_LIMIT
        while time.monotonic() < end:
            method = "DELETE" if cancels and job not in self.checks.cancelled_at else "GET"
            requested_at = time.monotonic()
            status, response = await self.call_gateway(method, job)
            if status == 200 and method == "DELETE":
                self.checks.cancelled_at[job] = time.monotonic()
            elif status == 200:
                state = json.loads(response).get("state")
                if state == "completed":
                    missing = [t for step in range(len(self.checks.stored_job_steps[job]))
                               for t in self.checks.tasks_of_step(job, step)
                               if t not in self.checks.succeeded_tasks]
                    if missing:
                        self.checks.record_violation(
                            f"MIXED: {job} reported as completed without {missing}")
                if state in ("completed", "failed", "cancelled"):
                    self.checks.count(f"stored jobs {state}")
                    return
            elif status == 410 and requested_at > accepted_at + VISIBLE_DELAY:
                self.checks.record_violation(
                    f"LOST: stored job {job} is unknown after it was accepted")
                return
            await asyncio.sleep(0.3)
        self.checks.record_violation(f"LOST: stored job {job} has not ended in time")

    async def run_stored_job_caller(self):
        while not self.is_stopping:
            await self.run_stored_job()

    async def run_caller(self):
        while not self.is_stopping:
            await self.run_job()
            await asyncio.sleep(self.rng.random() * 0.1)

    async def run_operator(self):
        while not self.is_stopping:
            await self.put_configuration()
            await self.read_configuration()
            await asyncio.sleep(self.rng.random())

    async def inject_random_fault(self):
        """Injects a fault and ends it; several calls may overlap."""
        # Two faults at once that restart the same process would start it twice.
        host = self.rng.choice([h for h in self.hosts if not h.has_active_fault])
        host.has_active_fault = True
        try:
            await self.inject_fault(host)
        finally:
            host.has_active_fault = False

    async def inject_fault(self, host):
        proxy = self.rng.choice(self.proxies)
        duration = self.rng.uniform(0.3, 3.0)
        kind = self.rng.choice(self.fault_kinds)
        if kind in ("wipe", "full") and host.role != "allocator":
            return
        if kind.startswith("peer-"):
            proxy = host.peer_proxy
        self.checks.count(f"fault {kind}")
        self.checks.log_event(f"fault {kind}, host {host.address}, "
                              f"proxy to {proxy.address}:{proxy.port}, {duration:.1f} s")
        is_peer_fault = kind.startswith("peer-")
        kind = kind.removeprefix("peer-")
        if kind == "wipe":
            await self.lose_disk(host, duration)
        elif kind == "replace":
            await self.replace(host, duration)
        elif kind == "full":
            with host.lose():
                host.limit_file_size(0)
                await asyncio.sleep(duration)
                host.limit_file_size(resource.RLIM_INFINITY)
        elif kind == "kill":
            with host.lose():
                host.kill()
                await asyncio.sleep(duration / 2)
                host.start(self.draw_seeds())
        elif kind == "term":
            with host.lose():
                await self.terminate(host)
                host.start(self.draw_seeds())
        elif kind == "pause":
            await self.pause(host, duration)
        elif kind == "hup":
            self.send_hangup(host)
        elif kind == "reset":
            proxy.reset()
        elif kind == "crash":
            self.rng.choice(self.targets).start_incarnation()
        elif kind == "reborn":
            i = self.rng.randrange(TARGET_COUNT)
            await self.targets[i].restart(self.proxies[i], self.rng.uniform(0.0, 0.4),
                                          self.rng.choice([0.0, 0.05, 0.2, 1.0]))
        elif kind == "lose-large":
            await self.targets[0].restart(self.proxies[0], duration * 2, 0.0)
        elif kind == "lose-scarce":
            await self.targets[SCARCE_TARGET].restart(self.proxies[SCARCE_TARGET], duration * 2, 0.0)
        elif kind == "standstills":
            await self.stand_still_repeatedly(host)
        elif kind == "owner-change":
            await self.change_owner_of_cut_target(host, duration)
        elif kind in ("cut", "cut-and-kill"):
            await self.cut_off_leader(duration * 2, kind == "cut-and-kill")
        else:
            with host.lose() if is_peer_fault else contextlib.nullcontext():
                proxy.mode = kind
                await asyncio.sleep(duration)
                proxy.mode = "pass"

    async def terminate(self, host):
        """Sends SIGTERM, and SIGKILL if the process has not ended 8 s later."""
        host.signal(signal.SIGTERM)
        for _ in range(80):
            if host.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        host.kill()

    async def pause(self, host, duration):
        with host.lose():
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            host.signal(signal.SIGCONT)

    async def stand_still_repeatedly(self, host):
        """Lets a host, or the leader, stand still several times, sometimes with another host."""
        rng = self.standstill_rng
        hosts, others = [host], [h for h in self.hosts if not h.has_active_fault]
        leader = next((h for h in others if h.address == self.find_leader()), None)
        if leader is not None and rng.random() < 0.3:
            hosts = [leader]
        others = [h for h in others if h not in hosts]
        if others and rng.random() < 0.3:
            hosts.append(rng.choice(others))
        added = [h for h in hosts if h is not host]
        for other in added:
            other.has_active_fault = True
        try:
            for _ in range(rng.randint(2, 6)):
                times = rng.choice(STANDSTILL_TIMES)
                await asyncio.gather(*(self.pause(h, rng.uniform(*times)) for h in hosts))
                await asyncio.sleep(rng.uniform(*STANDSTILL_PAUSES))
        finally:
            for other in added:
                other.has_active_fault = False

    def send_hangup(self, host):
        if self.announces_seeds:
            host.seeds = self.draw_seeds()
            host.write_settings()
        host.signal(signal.SIGHUP)

    def find_leader(self):
        """Returns the allocator that leads the group, as the latest line in the logs says."""
        latest = ("", ALLOCATORS[0])
        for address in ALLOCATORS:
            for line in (self.folder / f"{address}.log").read_text().splitlines():
                found = re.search(r'time=(\S+) .*group leader changed.* leader="?([0-9.]+)', line)
                if found and found.group(2) in ALLOCATORS:
                    latest = max(latest, (found.group(1), found.group(2)))
        return latest[1]

    async def cut_off_leader(self, duration, kills_others):
        """Cuts the leader off from the other allocators; targets and gateways reach all of them."""
        leader = self.find_leader()
        hosts = {h.address: h for h in self.allocator_hosts()}
        others = [h for a, h in hosts.items() if a != leader]
        if leader not in hosts or (kills_others and any(h.has_active_fault for h in others)):
            return
        await self.cut_off(hosts[leader], duration)
        # The hosts that were replaced during the cut stay ended.
        others = [h for h in others if h in self.hosts]
        if not kills_others or any(h.has_active_fault for h in others):
            return
        with contextlib.ExitStack() as losses:
            for host in others:
                losses.enter_context(host.lose())
                host.has_active_fault = True
                host.kill()
            await asyncio.sleep(0.5)
            for host in others:
                host.start(self.draw_seeds())
                host.has_active_fault = False

    async def change_owner_of_cut_target(self, host, duration):
        """Cuts a target off while an allocator is restarted, which may have been its owner.

        The target may belong to another allocator before the cut and to the restarted one after it.
        """
        rng = self.placement_rng
        free = [h for h in self.allocator_hosts() if h is host or not h.has_active_fault]
        if not free:
            return
        allocator = host if host in free else rng.choice(free)
        had_active_fault, allocator.has_active_fault = allocator.has_active_fault, True
        i = rng.randrange(TARGET_COUNT)
        target, proxy = self.targets[i], self.proxies[i]
        with allocator.lose():
            allocator.kill()
            target.failure_share = FAILURE_SHARE_BEFORE_CUT
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            self.checks.log_event(f"{target.id} is cut off")
            proxy.mode, target.next_heartbeat_at = "silent", float("inf")
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            allocator.start(self.draw_seeds())
            await asyncio.sleep(duration)
            proxy.mode, target.next_heartbeat_at = "pass", time.monotonic()
            target.failure_share = FAILURE_SHARE
            self.checks.log_event(f"{target.id} is back")
        allocator.has_active_fault = had_active_fault

    async def cut_off(self, host, duration):
        """Cuts a host off from the other allocators, also from those that start meanwhile."""
        self.checks.log_event(f"cut off {host.address} for {duration:.1f} s")
        with host.lose():
            self.cut_off_hosts.append(host.address)
            self.apply_cuts()
            await asyncio.sleep(duration)
            self.cut_off_hosts.remove(host.address)
            self.apply_cuts()

    def apply_cuts(self):
        addresses = {h.address for h in self.allocator_hosts()}
        for host in self.allocator_hosts():
            is_cut_off = host.address in self.cut_off_hosts
            host.peer_proxy.cut_off_hosts = (
                addresses - {host.address} if is_cut_off else set(self.cut_off_hosts))

    async def lose_disk(self, host, duration):
        """Makes a host lose its disk; no other disk is lost until it has had time to catch up."""
        if self.disk_loss.locked():
            return
        async with self.disk_loss:
            with host.lose():
                host.kill()
                shutil.rmtree(host.data, ignore_errors=True)
                await asyncio.sleep(duration / 2)
                host.start(self.draw_seeds())
            await asyncio.sleep(CATCH_UP_TIME)

    async def replace(self, host, duration):
        """Replaces `host`, the leader or, if `host` is a gateway, any allocator.

        No other disk is lost until the successor had time to catch up.

        If another allocator is lost meanwhile, the group may have no majority and so can't replace
        the lost voter. Therefore no allocator counts as lost when a replacement begins, nor when
        the next disk may be lost after it.
        """
        rng = self.replacement_rng
        waits = rng.random() < 0.5
        if self.disk_loss.locked() and not waits:
            return
        async with self.disk_loss:
            await self.wait_until_none_lost()
            if self.is_stopping:
                return
            free = [h for h in self.allocator_hosts() if h is host or not h.has_active_fault]
            if not free:
                return
            victim = host if host in free else rng.choice(free)
            leader = self.find_leader()
            if rng.random() < 0.5:
                victim = next((h for h in free if h.address == leader), victim)
            others = [h for h in free if h is not victim]
            kind = rng.choice(["none", "none", "cut", "pause", "restart"])
            is_planned = rng.random() < 1 / 3
            other = rng.choice(others) if others and kind != "none" else None
            self.checks.log_event(
                f"replace {victim.address}{' (leader)' if victim.address == leader else ''} by "
                f"127.0.{self.subnet()}.{self.last_successor_number + 1}, "
                f"{'planned' if is_planned else 'killed'}, meanwhile "
                f"{f'{kind} of {other.address}' if other else 'no other fault'}")
            self.checks.count(f"replacements {'planned' if is_planned else 'killed'}")
            victim.has_active_fault = True
            companion = asyncio.create_task(self.disturb(other, kind, duration))
            if is_planned:
                successor = await self.start_successor()
                started_at = time.monotonic()
                await asyncio.sleep(rng.uniform(0.0, 3.0))
                self.update_list(removed=victim.address)
                with victim.lose():
                    await self.terminate(victim)
                    self.remove_host(victim)
                # The host no longer counts once it has ended and its successor has had its time.
                await asyncio.sleep(max(0.0, started_at + CATCH_UP_TIME - time.monotonic()))
            else:
                with victim.lose():
                    victim.kill()
                    await asyncio.sleep(rng.uniform(0.0, 1.5))
                successor = await self.start_successor(victim)
                await asyncio.sleep(CATCH_UP_TIME)
            self.checks.log_event(f"successor {successor.address} has had its time")
            await companion
            await self.wait_until_none_lost()
        if rng.random() < 0.4:
            await self.check_availability_without_faults()

    async def disturb(self, host, kind, duration):
        """Cuts off, pauses or restarts a host while another one is replaced."""
        if host is None:
            return
        had_active_fault, host.has_active_fault = host.has_active_fault, True
        if kind == "cut":
            await self.cut_off(host, duration)
        elif kind == "pause":
            await self.pause(host, duration)
        else:
            with host.lose():
                host.kill()
                await asyncio.sleep(0.3)
                host.start(self.draw_seeds())
        host.has_active_fault = had_active_fault

    def subnet(self):
        return GATEWAYS[0].split(".")[2]

    async def start_successor(self, victim=None):
        """Starts an allocator with a new address and an empty disk, in place of `victim` if given."""
        self.last_successor_number += 1
        address = f"127.0.{self.subnet()}.{self.last_successor_number}"
        successor = Host(self.program, self.folder, "allocator", address, self.draw_seeds(),
                         is_successor=True, catch_up_time=self.catch_up_time,
                         evacuates=self.evacuates)
        await successor.peer_proxy.listen(PEER_PORT)
        if victim is not None:
            self.remove_host(victim)
        self.hosts.append(successor)
        self.apply_cuts()
        successor.start()
        self.update_list(address, victim.address if victim is not None else None)
        if self.announces_seeds:
            for host in self.hosts:
                if host is not successor:
                    self.send_hangup(host)
        return successor

    def remove_host(self, host):
        """Removes a host that has ended. Its address refuses connections from now on."""
        host.peer_proxy.server.close()
        self.hosts.remove(host)
        shutil.rmtree(host.data, ignore_errors=True)
        self.apply_cuts()

    def find_lost_host(self):
        return next((h for h in self.allocator_hosts() if h.counts_as_lost()), None)

    async def check_availability_without_faults(self):
        """Suspends the injection of faults until the configuration has been changed and read."""
        if not self.is_stopping:
            with self.suspend_faults():
                await self.check_availability()

    @contextlib.contextmanager
    def suspend_faults(self):
        """Lets no new fault begin within the block."""
        self.fault_suspensions += 1
        try:
            yield
        finally:
            self.fault_suspensions -= 1

    async def wait_until_none_lost(self):
        with self.suspend_faults():
            while self.find_lost_host() is not None:
                await asyncio.sleep(0.05)

    async def check_availability(self):
        """Checks that the configuration can be changed and read while no allocator is lost."""
        await self.wait_until_none_lost()
        self.checks.log_event("no allocator counts as lost")
        is_acknowledged = await self.retry_while_available(
            self.put_configuration, ACKNOWLEDGEMENT_DELAY, "no change was acknowledged")
        if not is_acknowledged:
            return
        version = max(v for _, v in self.acknowledged_versions)
        for address in list(ALLOCATORS):
            async def is_read_back():
                read = await self.read_configuration(address)
                return read is not None and read >= version

            if not await self.retry_while_available(
                    is_read_back, CONFIGURATION_DELAY, f"{version} was not read from {address}"):
                return
        self.checks.count("availability checks")

    async def retry_while_available(self, attempt, limit, violation):
        """Returns whether `attempt` succeeds; records a violation if it doesn't within `limit`.

        A loss that begins meanwhile ends the check without a violation.
        """
        end = time.monotonic() + limit
        while self.find_lost_host() is None:
            if await attempt():
                return True
            if time.monotonic() > end:
                if self.find_lost_host() is None:
                    self.checks.record_violation(
                        f"UNAVAILABLE: configuration {violation} within {limit} s although no "
                        "allocator counts as lost")
                return False
            await asyncio.sleep(0.1)
        return False

    async def inject_faults(self):
        while not self.is_stopping:
            await asyncio.sleep(self.rng.uniform(0.1, 1.0) * self.maximum_pause)
            while self.fault_suspensions > 0:
                await asyncio.sleep(0.05)
            await self.inject_random_fault()

    async def retry_until_recovered(self, attempt):
        end = time.monotonic() + RECOVERY_LIMIT
        while time.monotonic() < end:
            if await attempt():
                return True
            await asyncio.sleep(0.2)
        return False

    async def log_delays(self):
        """Logs when this program stood still, and with it all proxies and targets."""
        while True:
            due = time.monotonic() + 0.1
            await asyncio.sleep(0.1)
            delay = time.monotonic() - due
            if delay > 0.3:
                self.checks.log_event(f"this program was delayed by {delay:.2f} s")

    async def start_targets(self):
        self.targets, self.proxies, self.background_tasks = [], [], []
        for i in range(TARGET_COUNT):
            target = Target(f"t{i}", self.checks, self.rng,
                            LARGE_TARGET_MILLI_PROCESSORS if i == 0 else TARGET_MILLI_PROCESSORS,
                            DATA_CENTRES[0] if i < TARGET_COUNT - OTHER_DATA_CENTRE_TARGETS
                            else DATA_CENTRES[1],
                            SCARCE_LABEL if i == SCARCE_TARGET else "a")
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            proxy = Proxy("127.0.0.1", server.sockets[0].getsockname()[1])
            proxy_server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
            target.address = f"127.0.0.1:{proxy_server.sockets[0].getsockname()[1]}"
            self.targets.append(target)
            self.proxies.append(proxy)
            self.background_tasks += [asyncio.create_task(target.send_heartbeats()),
                                      asyncio.create_task(target.watch_lease())]

    async def run(self):
        await self.start_targets()
        self.background_tasks.append(asyncio.create_task(self.log_delays()))
        for host in self.hosts:
            await host.peer_proxy.listen(PEER_PORT)
        for host in self.hosts:
            host.start()
        if (not await self.retry_until_recovered(self.put_configuration)
                or not await self.retry_until_recovered(self.run_job)):
            self.checks.record_violation(
                "START: no configuration was accepted or no job was completed")
            return
        work = [asyncio.create_task(self.run_caller()) for _ in range(10)]
        work += [asyncio.create_task(self.run_stored_job_caller()) for _ in range(5)]
        work += [asyncio.create_task(self.run_operator())]
        if self.evacuates:
            work += [asyncio.create_task(self.run_evacuations())]
        faults = [asyncio.create_task(self.inject_faults()) for _ in range(2)]
        await asyncio.sleep(self.seconds)
        self.is_stopping = True
        await asyncio.gather(*faults)
        await self.check_availability()
        await asyncio.gather(*work)
        await self.check_end()

    async def check_end(self):
        if not await self.retry_until_recovered(self.run_job):
            self.checks.record_violation("RECOVER: no job was completed after the faults")
        newest = max((v for _, v in self.acknowledged_versions), default=0)

        async def is_read_back():
            version = await self.read_configuration()
            return version is not None and version >= newest

        if not await self.retry_until_recovered(is_read_back):
            self.checks.record_violation(f"LOST: configuration {newest} is not read back")
        # After an order without an acknowledgement either state is right.
        if (self.evacuates and not self.has_later_order
                and not await self.retry_until_recovered(self.has_last_evacuation_order)):
            self.checks.record_violation(
                f"LOST: the order {self.last_evacuation_order} is not in force on all allocators")

    def shut_down(self):
        for task in self.background_tasks:
            task.cancel()
        for host in self.hosts:
            if host.peer_proxy.server is not None:
                host.peer_proxy.server.close()
            host.kill()
        self.checks.event_log.close()


async def run_soak(options, seed, folder):
    soak = Soak(options.program, options.faults.split(","), seed, options.seconds, options.pause,
                folder, None if options.omit_catch_up else CATCH_UP_TIME,
                not options.omit_evacuations)
    try:
        await soak.run()
    finally:
        soak.shut_down()
    return soak.checks


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, starting at --seed")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--faults", default=",".join(FAULT_KINDS),
                        help="comma-separated kinds of faults to inject")
    parser.add_argument("--program", type=pathlib.Path, default=DEFAULT_PROGRAM)
    parser.add_argument("--pause", type=float, default=2.0,
                        help="longest time between two faults, in seconds")
    parser.add_argument("--subnet", type=int, default=9, choices=range(1, 255), metavar="N",
                        help="the processes use 127.0.N.x; soaks side by side need different ones")
    parser.add_argument("--omit-catch-up", action="store_true",
                        help="leave catch_up_s out of the settings, for programs without it")
    parser.add_argument("--omit-evacuations", action="store_true",
                        help="order no evacuations and leave their fields out of the settings, for "
                        "programs without them")
    options = parser.parse_args()
    GATEWAYS.extend(f"127.0.{options.subnet}.{i}" for i in (11, 12))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        ALLOCATORS[:] = [f"127.0.{options.subnet}.{i}" for i in (1, 2, 3)]
        FORMER_ALLOCATORS.clear()
        folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-soak-"))
        checks = asyncio.run(run_soak(options, seed, folder))
        counts = ", ".join(f"{name} {count}" for name, count in sorted(checks.counts.items()))
        print(f"seed {seed}: {'FAILED' if checks.violations else 'ok'}; {counts}", flush=True)
        if not checks.violations:
            shutil.rmtree(folder)
            continue
        failed += 1
        print(f"logs: {folder}")
        for line in checks.violations[:10]:
            print("  " + line)
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
