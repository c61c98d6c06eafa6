#!/usr/bin/env python3
"""Sends crowds of misbehaving clients to a gateway and an allocator on loopback.

One allocator and one gateway run as real processes with lowered limits. Each case opens CROWD_SIZE
connections of one kind to one HTTP server of one of the two processes and keeps them open:
- whole: bodies of the largest legal size, sent at once, that stop one byte before their end.
- pieces: the same, sent 4 kB at a time to each connection in turn.
- large-chunks: chunked bodies of the same size in chunks of 64 kB that stop before their end.
- small-chunks: the same in chunks of 8 bytes.
- announced: bodies ten times over the limit, announced by Content-Length.
- unannounced: chunked bodies ten times over the limit.
- headers: headers of the largest legal size that stop before their end.
- nested: complete bodies of the largest legal size, JSON of empty objects.
- jobs, stored-jobs: complete jobs of the largest legal size with as many steps as fit, which aren't
  stored or are.
- configurations: complete configurations of that size; reads: reads of the configuration whose
  responses the client doesn't read.
The case `calm` sends one request of the largest legal size without a crowd.

The bounds come from the settings that the test gives the processes, which stand for the machine:
- Memory: the peak of the resident memory (VmHWM) of each process is at most `memory_mb`.
- Descriptors of the process: at most `descriptors` less RESERVED_DESCRIPTORS, which the platform's documentation
  reserves for files.
- Both processes are alive, and one ordinary request is answered with status 200 while the crowd is
  still connected.
Nothing depends on times: all waits are only bounded so that a hang fails the test.

Usage: crowd_test.py [--case SERVER:KIND,...] [--program PATH] [--omit-limits] [--subnet N].
`--omit-limits` leaves the settings of the limits out, for programs that don't know them; crowd and
bounds stay the same. The exit code is 1 if a case fails that isn't listed in KNOWN-RED.txt as
`scripts/crowd_test.py SERVER KIND`.
"""

import argparse
import errno
import json
import os
import pathlib
import selectors
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_PROGRAM = ROOT / "build/release/src/sapphirecrank"
CALLER_PORT, READINESS_PORT, CONTROL_PORT, METRICS_PORT, PEER_PORT = 18781, 18782, 18783, 18784, 18785
# The machine that the settings describe.
MEMORY_MB, DESCRIPTORS = 64, 512
# The platform's documentation: "Of the maxFds descriptors, 200 are reserved for files".
RESERVED_DESCRIPTORS = 200
# More connections than descriptors are left, whose legal bodies are together above the memory.
CROWD_SIZE = 400
# The limit of a body that the configuration of this test names for callers.
LEGAL_BODY_SIZE = 262144
# The platform's `maxHeaderBytes` is 16384.
LEGAL_HEADER_SIZE = 16000
OVERSIZE_FACTOR = 10
HOST, PREFIX, SERVICE = "crowd.example", "/q/", "crowd-service"
# Bounds on waits, in seconds. A server that stops reading from its clients ends the sending.
SEND_LIMIT, NO_PROGRESS_LIMIT, START_LIMIT, REQUEST_LIMIT, ANSWER_LIMIT = 120, 5, 40, 5, 60
# The server has read what was sent once its memory is the same for this many seconds.
SETTLED_TIME, SETTLE_LIMIT = 1.5, 60
SERVERS = ["caller", "readiness", "gateway-metrics", "control", "allocator-metrics"]
KINDS = ["whole", "pieces", "large-chunks", "small-chunks", "announced", "unannounced", "headers",
         "nested"]
# All kinds for the two servers that receive bodies. The others are of the same class, so that one
# kind shows whether they are within the limits.
CASES = ([f"{server}:{kind}" for server in ("caller", "control") for kind in KINDS + ["calm"]] +
         ["caller:jobs", "caller:stored-jobs", "control:configurations", "control:reads"] +
         [f"{server}:whole" for server in ("readiness", "gateway-metrics", "allocator-metrics")])


class Deployment:
    """One allocator and one gateway."""

    def __init__(self, folder, program, subnet, omits_limits):
        self.folder, self.program, self.omits_limits = folder, program, omits_limits
        self.allocator, self.gateway = f"127.0.{subnet}.1", f"127.0.{subnet}.11"
        self.crowd_address, self.ordinary_address = f"127.0.{subnet}.101", f"127.0.{subnet}.201"
        self.processes = {}
        self.addresses = {
            "caller": (self.gateway, CALLER_PORT), "readiness": (self.gateway, READINESS_PORT),
            "gateway-metrics": (self.gateway, METRICS_PORT),
            "control": (self.allocator, CONTROL_PORT),
            "allocator-metrics": (self.allocator, METRICS_PORT)}

    def start_process(self, role, address, settings):
        settings = dict(settings, name=address, data_centre="crowd", address=address,
                        peer_port=PEER_PORT, seeds=[f"{self.allocator}:{CONTROL_PORT}"],
                        metrics_listen=f"{address}:{METRICS_PORT}")
        if not self.omits_limits:
            settings.update(memory_mb=MEMORY_MB, descriptors=DESCRIPTORS)
        path = self.folder / f"{role}.json"
        path.write_text(json.dumps(settings))
        log = open(self.folder / f"{role}.log", "a")
        self.processes[role] = subprocess.Popen([self.program, role, "--settings", path],
                                                stdout=log, stderr=log)

    def start(self):
        data = self.folder / "data"
        data.mkdir()
        self.start_process("allocator", self.allocator, {
            "control_listen": f"{self.allocator}:{CONTROL_PORT}", "data_folder": str(data),
            "bootstrap": True, "lost_disks_borne": 0})
        self.start_process("gateway", self.gateway, {
            "caller_listen": f"{self.gateway}:{CALLER_PORT}",
            "readiness_listen": f"{self.gateway}:{READINESS_PORT}"})
        configuration = make_configuration(1)
        self.retry_until_ok("the configuration is accepted", START_LIMIT, lambda: self.request(
            "control", "POST", "/sapphirecrank/Config.Put", configuration))
        for server in ("caller", "control"):
            self.retry_until_ok("the processes are ready", START_LIMIT,
                                lambda server=server: self.ordinary_request(server))

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def process_of(self, server):
        return self.processes["allocator" if server in ("control", "allocator-metrics")
                              else "gateway"]

    def request(self, server, method, path, body=b""):
        """Makes one call on a connection of its own; returns the status, 0 without a response."""
        return self.exchange(server, method, path, body)[0]

    def exchange(self, server, method, path, body=b""):
        """As `request`, but returns the status and the rest of the response."""
        try:
            with socket.create_connection(self.addresses[server], REQUEST_LIMIT,
                                          (self.ordinary_address, 0)) as connection:
                head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n")
                connection.sendall(head.encode() + body)
                response = connection.makefile("rb")
                line = response.readline()
                return (int(line.split()[1]), response.read()) if line else (0, b"")
        except (OSError, ValueError, IndexError):
            return 0, b""

    def ordinary_request(self, server):
        # The number of waiting jobs comes from the allocator, so that both processes must work.
        path = {"caller": PREFIX, "control": "/sapphirecrank/Config.Get"}.get(server, "/")
        return self.request(server, "GET", path)

    def retry_until_ok(self, text, limit, call):
        end = time.monotonic() + limit
        status = 0
        while time.monotonic() < end:
            status = call()
            if status == 200:
                return
            time.sleep(0.1)
        raise AssertionError(f"{text}: not within {limit} s, last status {status}")


def make_configuration(version, size=0):
    """Returns a valid configuration of at least `size` bytes."""
    body = {"version": version, "services": [{"name": SERVICE}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": LEGAL_BODY_SIZE,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    route = {"host": HOST, "kind": "unsafe", "service": SERVICE, "timeoutMs": 1500, "sloMs": 500,
             "priority": 0, "maxAttempts": 3, "stretch": 2.0}
    body["routes"] = [dict(route, name="r", pathPrefix=PREFIX)]
    length = len(json.dumps(body))
    while length < size:
        number = len(body["routes"])
        body["routes"].append(dict(route, name=f"r-{number}", pathPrefix=f"/q{number}/"))
        length += len(json.dumps(body["routes"][-1])) + 2
    return json.dumps(body).encode()


def make_head(server, *headers):
    path = {"caller": PREFIX + "0123456789abcdef",
            "control": "/sapphirecrank/Config.Put"}.get(server, "/")
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_chunks(total, chunk_size):
    chunk = b"%x\r\n" % chunk_size + b" " * chunk_size + b"\r\n"
    return chunk * (total // chunk_size)


def make_job(is_stored):
    """Returns a job of the largest legal size with as many steps as fit."""
    begin = b'{"spec":"x",' + (b"" if is_stored else b'"bestEffort":true,') + b'"steps":['
    step = b'{"count":1}'
    count = (LEGAL_BODY_SIZE - len(begin) - 2) // (len(step) + 1)
    return (begin + b",".join([step] * count) + b"]}").ljust(LEGAL_BODY_SIZE)


def make_complete_body(kind):
    if kind == "nested":
        return (b"[" + b"{}," * (LEGAL_BODY_SIZE // 3 - 1) + b"{}]")
    if kind == "configurations":
        return make_configuration(2, LEGAL_BODY_SIZE - 512)
    return make_job(kind == "stored-jobs")


def make_request(server, kind):
    """Returns the bytes that each client of a crowd sends, and how many of them in one turn."""
    if kind == "headers":
        return make_head(server, "X-Long: " + "x" * LEGAL_HEADER_SIZE)[:-2], 1 << 20
    if kind == "reads":
        return (f"GET /sapphirecrank/Config.Get HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 50,
                1 << 20)
    if kind in ("nested", "jobs", "stored-jobs", "configurations"):
        body = make_complete_body(kind)
        return make_head(server, f"Content-Length: {len(body)}") + body, 1 << 20
    chunked = make_head(server, "Transfer-Encoding: chunked")
    if kind in ("whole", "pieces"):
        head = make_head(server, f"Content-Length: {LEGAL_BODY_SIZE}")
        return head + b" " * (LEGAL_BODY_SIZE - 1), 4096 if kind == "pieces" else 1 << 20
    if kind == "large-chunks":
        # The last chunk, of no bytes, is missing.
        return chunked + make_chunks(LEGAL_BODY_SIZE, 65536), 1 << 20
    if kind == "small-chunks":
        return chunked + make_chunks(LEGAL_BODY_SIZE, 8), 1 << 20
    size = LEGAL_BODY_SIZE * OVERSIZE_FACTOR
    if kind == "announced":
        return make_head(server, f"Content-Length: {size}") + b" " * (size - 1), 1 << 20
    return chunked + make_chunks(size, 65536), 1 << 20


class Crowd:
    """Connections that all send the same bytes and then stay open."""

    def __init__(self, deployment, server, kind):
        self.data, self.step = make_request(server, kind)
        self.data = memoryview(self.data)
        self.pid = deployment.process_of(server).pid
        self.maximum_descriptors = 0
        self.selector = selectors.DefaultSelector()
        self.sent, self.connections = {}, []
        self.server_address = deployment.addresses[server]
        self.own_address = deployment.crowd_address

    def count_descriptors(self):
        try:
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return
        self.maximum_descriptors = max(self.maximum_descriptors, count)

    def connect(self):
        for _ in range(CROWD_SIZE):
            connection = socket.socket()
            connection.setblocking(False)
            connection.bind((self.own_address, 0))
            code = connection.connect_ex(self.server_address)
            if code not in (0, errno.EINPROGRESS):
                connection.close()
                continue
            self.connections.append(connection)
            self.sent[connection] = 0
            self.selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE)

    def stop_watching(self, connection):
        self.selector.unregister(connection)

    def serve(self, connection, events):
        """Sends or receives once; returns whether there was progress."""
        try:
            if events & selectors.EVENT_READ and not connection.recv(65536):
                self.stop_watching(connection)
                connection.close()
                return True
            if events & selectors.EVENT_WRITE:
                begin = self.sent[connection]
                self.sent[connection] += connection.send(self.data[begin:begin + self.step])
                if self.sent[connection] == len(self.data):
                    # Stays open without sending the rest.
                    self.stop_watching(connection)
            return True
        except BlockingIOError:
            return False
        except OSError:
            self.stop_watching(connection)
            connection.close()
            return True

    def send(self):
        """Sends until each client has sent everything, was disconnected, or isn't read from."""
        self.connect()
        end = time.monotonic() + SEND_LIMIT
        last_progress = time.monotonic()
        while self.selector.get_map() and time.monotonic() < end:
            for key, events in self.selector.select(0.1):
                if self.serve(key.fileobj, events):
                    last_progress = time.monotonic()
            self.count_descriptors()
            if time.monotonic() - last_progress > NO_PROGRESS_LIMIT:
                return

    def close(self):
        for connection in self.connections:
            connection.close()
        self.selector.close()


def read_peak_memory_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def wait_until_settled(process):
    """Waits until the process has read what was sent to it, as far as its memory shows that."""
    end = time.monotonic() + SETTLE_LIMIT
    last_size, settled_at = None, time.monotonic() + SETTLED_TIME
    while process.poll() is None and time.monotonic() < min(end, settled_at):
        size = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]
        if size != last_size:
            last_size, settled_at = size, time.monotonic() + SETTLED_TIME
        time.sleep(0.05)


def check_processes(deployment):
    """Returns which processes have ended or had too much memory, and their peaks."""
    failures, figures = [], []
    for role, process in sorted(deployment.processes.items()):
        if process.poll() is not None:
            failures.append(f"the {role} ended with code {process.returncode}")
            continue
        peak = read_peak_memory_mb(process.pid)
        figures.append(f"{role} {peak:.0f} MB")
        if peak > MEMORY_MB:
            failures.append(f"peak memory of the {role} above {MEMORY_MB} MB")
    return failures, figures


def run_crowd(deployment, server, kind):
    """Returns what didn't hold, and the measured figures."""
    if kind == "reads":
        # Responses of the largest legal size.
        deployment.retry_until_ok("a large configuration is accepted", START_LIMIT,
                                  lambda: deployment.request(
                                      "control", "POST", "/sapphirecrank/Config.Put",
                                      make_configuration(2, LEGAL_BODY_SIZE - 512)))
    process = deployment.process_of(server)
    crowd = Crowd(deployment, server, kind)
    failures = []
    try:
        crowd.send()
        wait_until_settled(process)
        crowd.count_descriptors()
        try:
            deployment.retry_until_ok("an ordinary request is answered", ANSWER_LIMIT,
                                      lambda: deployment.ordinary_request(server))
        except AssertionError as error:
            failures.append(str(error))
        process_failures, figures = check_processes(deployment)
    finally:
        crowd.close()
    failures += process_failures
    descriptor_bound = DESCRIPTORS - RESERVED_DESCRIPTORS
    if crowd.maximum_descriptors > descriptor_bound:
        failures.append(f"{crowd.maximum_descriptors} descriptors above {descriptor_bound}")
    return failures, ", ".join(figures + [f"{crowd.maximum_descriptors} descriptors"])


def run_calm(deployment, server):
    """Sends one request of the largest legal size, which must be accepted or answered as usual."""
    if server == "control":
        body = make_configuration(2, LEGAL_BODY_SIZE - 512)
        status = deployment.request("control", "POST", "/sapphirecrank/Config.Put", body)
        expected = [200]
    else:
        body = json.dumps({"spec": "x", "bestEffort": True,
                           "steps": [{"count": 1, "cpu": 100}]}).encode()
        body += b" " * (LEGAL_BODY_SIZE - len(body))
        status, response = deployment.exchange("caller", "POST", PREFIX + "0123456789abcdef", body)
        # There is no target, so that the job is refused. A refusal by the limits has another reason.
        expected = [503]
        if b"no allocator has targets of the service" not in response:
            return [f"refused for another reason: {response[-200:]}"], f"status {status}"
    failures = [] if status in expected else [f"status {status} instead of {expected}"]
    return failures, f"status {status}"


def run_case(case, options):
    server, kind = case.split(":")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-crowd-"))
    deployment = Deployment(folder, options.program, options.subnet, options.omit_limits)
    try:
        deployment.start()
        failures, figures = (run_calm(deployment, server) if kind == "calm"
                             else run_crowd(deployment, server, kind))
    except AssertionError as error:
        failures, figures = [str(error)], "not measured"
    finally:
        deployment.stop()
    print(f"{'FAILED' if failures else 'passed'} {case}: {figures}"
          f"{''.join('; ' + failure for failure in failures)}", flush=True)
    if failures:
        print(f"  logs in {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return not failures


def is_known_failure(case):
    server, kind = case.split(":")
    names = [tuple(line.split("|")[0].split())
             for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines()
             if line.strip() and not line.startswith("#")]
    return ("scripts/crowd_test.py", server, kind) in names


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", default=",".join(CASES), help="SERVER:KIND,...")
    parser.add_argument("--program", default=str(DEFAULT_PROGRAM))
    parser.add_argument("--omit-limits", action="store_true",
                        help="leave out the settings of the limits")
    parser.add_argument("--subnet", type=int, default=90, help="addresses are 127.0.N.x")
    options = parser.parse_args()
    failed = []
    for case in options.case.split(","):
        if case not in CASES:
            parser.error(f"unknown case {case}; cases are {', '.join(CASES)}")
        passed = run_case(case, options)
        known = is_known_failure(case)
        if passed and known:
            print(f"listed in KNOWN-RED.txt but passes: {case}")
        elif known:
            print(f"known red: {case}")
        elif not passed:
            failed.append(case)
    print(f"{len(failed)} unexpected failures {' '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
