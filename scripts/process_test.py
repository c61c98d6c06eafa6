#!/usr/bin/env python3
"""Runs three entry host processes and stand-in workers on loopback, kills and stops hosts under load.

Callers submit jobs to any host and submit the same job again elsewhere until it has ended. Guards
against second starts and against accepted jobs that get no answer. Exit code 1 if either is seen.
"""

import collections
import concurrent.futures
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
HTTP_PORTS = [18601, 18602, 18603]
PEER_PORTS = [18611, 18612, 18613]
TASKS_IN_JOB = 10
TASK_MS = 60
JOBS = 200
CALLERS = 12
GIVE_UP_SECONDS = 60


def write_settings(folder, index):
    peers = [
        {"host": f"ba-{i}", "data_centre": "ba", "address": f"127.0.0.1:{PEER_PORTS[i]}"}
        for i in range(3) if i != index]
    data = folder / f"data-{index}"
    data.mkdir()
    settings = {
        "host": f"ba-{index}", "data_centre": "ba", "secret_file": str(folder / "secret"),
        "http_listen": f"127.0.0.1:{HTTP_PORTS[index]}",
        "peer_listen": f"127.0.0.1:{PEER_PORTS[index]}", "data_folder": str(data),
        "peers": peers, "teams": [{"id": "tags"}]}
    (folder / f"host-{index}.json").write_text(json.dumps(settings))


def start_host(folder, index):
    log = open(folder / f"host-{index}.log", "a")
    return subprocess.Popen(
        [ROOT / "build/release/src/sapphirecrank", "run", "--settings",
         folder / f"host-{index}.json"], stderr=log)


def call(port, path, body=None, timeout=5):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.loads(answer.read())
    except urllib.error.HTTPError as error:
        return json.loads(error.read())
    except (OSError, ValueError):
        return None


def wait_for_slots(slots):
    while True:
        known = 0
        for port in HTTP_PORTS:
            status = call(port, "/v1/status")
            known += status["load"]["worker"]["free_slots"] if status else 0
        if known >= slots:
            return
        time.sleep(0.1)


def run_job(number):
    """Returns the outcome, and the (submission, index) of tasks that were called "not run"."""
    submission = f"ba:{int(time.time() * 1000)}-{number}"
    tasks = [{"payload": {"sleep_ms": TASK_MS, "echo": i, "id": submission}}
             for i in range(TASKS_IN_JOB)]
    body = json.dumps({"submission": submission, "team": "tags", "deadline_ms": 15000,
                       "tasks": tasks}).encode()
    end = time.time() + GIVE_UP_SECONDS
    attempt = number
    while time.time() < end:
        answer = call(HTTP_PORTS[attempt % 3], "/v1/jobs", body)
        attempt += 1
        if answer and answer.get("state") == "complete":
            right = answer["results"] == list(range(TASKS_IN_JOB))
            return ("complete" if right else "wrong"), []
        if answer and answer.get("state") == "failed" and answer.get("tasks"):
            not_run = [(submission, task["index"]) for task in answer["tasks"]
                       if task["verdict"] == "not run"]
            return "failed", not_run
        if answer and answer.get("error", {}).get("code") == "expired":
            return "expired", []
        time.sleep(0.2)
    return "unanswered", []


def disturb(folder, hosts):
    time.sleep(1.5)
    print("kill -9 of host 0", flush=True)
    hosts[0].kill()
    hosts[0].wait()
    time.sleep(3)
    hosts[0] = start_host(folder, 0)
    time.sleep(4)
    print("SIGSTOP of host 1 for 4 s", flush=True)
    hosts[1].send_signal(signal.SIGSTOP)
    time.sleep(4)
    hosts[1].send_signal(signal.SIGCONT)
    time.sleep(4)
    print("SIGTERM of host 2", flush=True)
    hosts[2].terminate()
    code = hosts[2].wait(timeout=60)
    print(f"host 2 exited with {code}", flush=True)
    hosts[2] = start_host(folder, 2)


def main():
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sapphirecrank-process-test-"))
    os.umask(0o077)
    (folder / "secret").write_text("0123456789abcdef0123456789abcdef")
    for index in range(3):
        write_settings(folder, index)
    hosts = [start_host(folder, index) for index in range(3)]
    starts_file = folder / "starts"
    workers = subprocess.Popen(
        [ROOT / "build/release/bench/bench_fake_target", "worker", "6", "8", "ba"] +
        [f"127.0.0.1:{port}" for port in HTTP_PORTS],
        stdout=open(folder / "workers.log", "w"),
        env=dict(os.environ, FAKE_TARGET_STARTS=str(starts_file)))
    try:
        wait_for_slots(48)
        with concurrent.futures.ThreadPoolExecutor(max_workers=CALLERS + 1) as pool:
            disturbance = pool.submit(disturb, folder, hosts)
            outcomes = collections.Counter()
            called_not_run = set()
            number = 0
            running = set()
            while number < JOBS or not disturbance.done() or running:
                while len(running) < CALLERS and (number < JOBS or not disturbance.done()):
                    running.add(pool.submit(run_job, number))
                    number += 1
                done, running = concurrent.futures.wait(
                    running, timeout=1, return_when=concurrent.futures.FIRST_COMPLETED)
                for job in done:
                    outcome, not_run = job.result()
                    outcomes[outcome] += 1
                    called_not_run.update(not_run)
            disturbance.result()
    finally:
        workers.send_signal(signal.SIGTERM)
        workers.wait()
        for host in hosts:
            host.send_signal(signal.SIGCONT)
            host.kill()
            host.wait()
    payloads = [json.loads(line) for line in starts_file.read_text().splitlines()]
    starts = collections.Counter((payload["id"], payload["echo"]) for payload in payloads)
    second = sum(1 for count in starts.values() if count > 1)
    untrue = sum(1 for task in called_not_run if task in starts)
    print(f"jobs: {dict(outcomes)}; tasks started: {len(starts)}; started twice: {second}; "
          f"called not run: {len(called_not_run)}, of these started: {untrue}")
    bad = second + untrue + outcomes["unanswered"] + outcomes["wrong"]
    shutil.rmtree(folder)
    return 1 if bad else 0


sys.exit(main())
