#!/usr/bin/env python3
"""Runs three entry hosts and fake workers on loopback; kills, pauses and stops hosts under load.

Callers submit a job to any host, and resubmit it to other hosts until it has ended. Guards against
tasks that start twice, tasks that start although a response gave them the verdict "not run", jobs
that get no final response, and wrong results. The exit code is 1 if one of these occurs.
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
TASKS_PER_JOB = 10
TASK_RUN_TIME_MS = 60
JOB_COUNT = 200
CALLER_COUNT = 12
JOB_TIMEOUT_SECONDS = 60


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
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        return json.loads(error.read())
    except (OSError, ValueError):
        return None


def wait_for_slots(slots):
    while True:
        free_slots = 0
        for port in HTTP_PORTS:
            status = call(port, "/v1/status")
            free_slots += status["load"]["worker"]["free_slots"] if status else 0
        if free_slots >= slots:
            return
        time.sleep(0.1)


def run_job(job_number):
    """Returns the outcome, and (submission, index) of the tasks whose verdict was "not run"."""
    submission = f"ba:{int(time.time() * 1000)}-{job_number}"
    tasks = [{"payload": {"sleep_ms": TASK_RUN_TIME_MS, "echo": i, "id": submission}}
             for i in range(TASKS_PER_JOB)]
    request_body = json.dumps({"submission": submission, "team": "tags", "deadline_ms": 15000,
                               "tasks": tasks}).encode()
    end = time.time() + JOB_TIMEOUT_SECONDS
    attempt_number = job_number
    while time.time() < end:
        response = call(HTTP_PORTS[attempt_number % 3], "/v1/jobs", request_body)
        attempt_number += 1
        if response and response.get("state") == "complete":
            is_correct = response["results"] == list(range(TASKS_PER_JOB))
            return ("complete" if is_correct else "wrong"), []
        if response and response.get("state") == "failed" and response.get("tasks"):
            not_run = [(submission, task["index"]) for task in response["tasks"]
                       if task["verdict"] == "not run"]
            return "failed", not_run
        if response and response.get("error", {}).get("code") == "expired":
            return "expired", []
        time.sleep(0.2)
    return "unanswered", []


def inject_faults(folder, hosts):
    time.sleep(1.5)
    print("sending SIGKILL to host 0", flush=True)
    hosts[0].kill()
    hosts[0].wait()
    time.sleep(3)
    hosts[0] = start_host(folder, 0)
    time.sleep(4)
    print("pausing host 1 with SIGSTOP for 4 s", flush=True)
    hosts[1].send_signal(signal.SIGSTOP)
    time.sleep(4)
    hosts[1].send_signal(signal.SIGCONT)
    time.sleep(4)
    print("sending SIGTERM to host 2", flush=True)
    hosts[2].terminate()
    code = hosts[2].wait(timeout=60)
    print(f"host 2 exited with code {code}", flush=True)
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
        with concurrent.futures.ThreadPoolExecutor(max_workers=CALLER_COUNT + 1) as pool:
            fault_injection = pool.submit(inject_faults, folder, hosts)
            outcomes = collections.Counter()
            reported_not_run = set()
            job_number = 0
            running = set()
            while job_number < JOB_COUNT or not fault_injection.done() or running:
                while len(running) < CALLER_COUNT and (
                        job_number < JOB_COUNT or not fault_injection.done()):
                    running.add(pool.submit(run_job, job_number))
                    job_number += 1
                done, running = concurrent.futures.wait(
                    running, timeout=1, return_when=concurrent.futures.FIRST_COMPLETED)
                for job in done:
                    outcome, not_run = job.result()
                    outcomes[outcome] += 1
                    reported_not_run.update(not_run)
            fault_injection.result()
    finally:
        workers.send_signal(signal.SIGTERM)
        workers.wait()
        for host in hosts:
            host.send_signal(signal.SIGCONT)
            host.kill()
            host.wait()
    payloads = [json.loads(line) for line in starts_file.read_text().splitlines()]
    starts = collections.Counter((payload["id"], payload["echo"]) for payload in payloads)
    started_twice = sum(1 for count in starts.values() if count > 1)
    started_although_not_run = sum(1 for task in reported_not_run if task in starts)
    print(f"jobs: {dict(outcomes)}; tasks started: {len(starts)}; started twice: {started_twice}; "
          f"reported as not run: {len(reported_not_run)}, "
          f"of these started: {started_although_not_run}")
    error_count = (started_twice + started_although_not_run + outcomes["unanswered"]
                   + outcomes["wrong"])
    shutil.rmtree(folder)
    return 1 if error_count else 0


sys.exit(main())
