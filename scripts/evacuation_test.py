#!/usr/bin/env python3
"""Runs three allocators as processes on 127.0.N.x and orders evacuations with the command line.

Guards against:
- an order that a host carries out although its caller has gone: the host stood still, and the
  finish that followed was carried out elsewhere;
- an acknowledged order that is lost when all processes are killed;
- an order that is acknowledged while no disk accepts a write, a host that ends because of that, and
  orders that fail after the disks accept writes again;
- a command line that doesn't find the leader, or whose exit code is 0 for a mistaken order.

Usage: evacuation_test.py [--subnet N] [--program PATH]. The exit code is 1 if a check failed; the
logs are then kept, and their folder is printed.
"""

import argparse
import json
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROL_PORT, PEER_PORT = 18773, 18774
DATA_CENTRE = "other"
# Reached only if a check fails; an election takes about a second.
LIMIT = 20.0
NOT_RUN = 4  # Exit code of the program.


class Cluster:
    """Three allocators in one folder."""

    def __init__(self, program, subnet, folder):
        self.program, self.folder = program, folder
        self.addresses = [f"127.0.{subnet}.{i}" for i in (1, 2, 3)]
        self.processes = []

    def start(self, bootstrap):
        for address in self.addresses:
            data = self.folder / f"data-{address}"
            data.mkdir(exist_ok=True)
            settings = {
                "name": address, "data_centre": "own", "address": address, "peer_port": PEER_PORT,
                "seeds": [f"{a}:{CONTROL_PORT}" for a in self.addresses],
                "control_listen": f"{address}:{CONTROL_PORT}", "data_folder": str(data),
                "bootstrap": bootstrap, "data_centres": ["own", DATA_CENTRE],
                "evacuation_limit_ms": 5000}
            path = self.folder / f"{address}.json"
            path.write_text(json.dumps(settings))
            with open(self.folder / f"{address}.log", "a") as log:
                self.processes.append(subprocess.Popen(
                    [self.program, "allocator", "--settings", path], stdout=log, stderr=log))

    def signal(self, number):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.processes.clear()

    def limit_file_size(self, size):
        """Makes all writes beyond `size` bytes of a file fail, as on a full disk."""
        for process in self.processes:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def evacuate(self, index, *arguments):
        """Runs the command at one allocator; returns its exit code and its output."""
        result = subprocess.run(
            [self.program, "evacuate", *arguments, "--host",
             f"{self.addresses[index]}:{CONTROL_PORT}", "--json"],
            stdout=subprocess.PIPE, text=True, check=False)
        return result.returncode, result.stdout

    def order(self, action):
        """Repeats an order at all allocators in turn until it is acknowledged."""
        return wait_until(lambda: any(self.evacuate(i, action, DATA_CENTRE)[0] == 0
                                      for i in range(3)))

    def lists(self):
        """Returns the evacuated data centres that each allocator lists."""
        found = []
        for i in range(3):
            code, output = self.evacuate(i, "list")
            found.append([e["data_centre"] for e in json.loads(output)["evacuations"]]
                         if code == 0 else None)
        return found

    def all_list(self, data_centres):
        return wait_until(lambda: self.lists() == [data_centres] * 3)

    def send_and_leave(self, call):
        """Sends an order to each allocator and closes the connection at once."""
        for address in self.addresses:
            with socket.create_connection((address, CONTROL_PORT), 2) as connection:
                connection.sendall(f"POST /sapphirecrank/Evacuations.{call}/{DATA_CENTRE} HTTP/1.1"
                                   "\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())


def wait_until(condition):
    end = time.monotonic() + LIMIT
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return False


def check(holds, text):
    if not holds:
        raise AssertionError(text)


def check_orders(cluster):
    check(cluster.order("start"), "no start was acknowledged")
    check(cluster.all_list([DATA_CENTRE]), f"start not in force: {cluster.lists()}")
    for i in range(3):
        check(cluster.evacuate(i, "start", DATA_CENTRE)[0] == 0,
              f"allocator {i} didn't lead to the leader")
        check(cluster.evacuate(i, "start", "nowhere")[0] == NOT_RUN,
              f"allocator {i} didn't refuse an unknown name")
    check(cluster.order("finish"), "no finish was acknowledged")
    check(cluster.all_list([]), f"finish not in force: {cluster.lists()}")


def check_abandoned_orders(cluster):
    # So short that the leader keeps leading.
    cluster.signal(signal.SIGSTOP)
    cluster.send_and_leave("Start")
    cluster.signal(signal.SIGCONT)
    time.sleep(1.0)
    check(cluster.lists() == [[]] * 3, f"abandoned order carried out: {cluster.lists()}")


def check_restart(cluster):
    check(cluster.order("start"), "no start was acknowledged")
    cluster.kill()
    cluster.start(False)
    check(cluster.all_list([DATA_CENTRE]), f"lost in a restart: {cluster.lists()}")


def check_full_disks(cluster):
    cluster.limit_file_size(0)
    for i in range(3):
        check(cluster.evacuate(i, "finish", DATA_CENTRE)[0] != 0,
              f"allocator {i} acknowledged an order without a disk")
    check(cluster.lists() == [[DATA_CENTRE]] * 3, f"not served or lost: {cluster.lists()}")
    cluster.limit_file_size(resource.RLIM_INFINITY)
    check(cluster.order("finish"), "no finish was acknowledged after the disks were usable again")
    check(cluster.all_list([]), f"finish not in force: {cluster.lists()}")
    check(all(process.poll() is None for process in cluster.processes), "a process has ended")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--subnet", type=int, default=8, choices=range(1, 255), metavar="N")
    parser.add_argument("--program", type=pathlib.Path,
                        default=ROOT / "build/release/src/sapphirecrank")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-evacuation-"))
    cluster = Cluster(options.program, options.subnet, folder)
    try:
        cluster.start(True)
        for run_check in (check_orders, check_abandoned_orders, check_restart, check_full_disks):
            run_check(cluster)
            print(f"{run_check.__name__}: ok", flush=True)
    except AssertionError as error:
        print(f"FAILED: {error}; logs: {folder}")
        return 1
    finally:
        cluster.kill()
    shutil.rmtree(folder)
    return 0


sys.exit(main())
