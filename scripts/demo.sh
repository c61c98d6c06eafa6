#!/usr/bin/env bash
# Builds the program, starts three entry hosts and twelve fake workers on loopback, and runs a job
# of 200 tasks.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
bash scripts/build.sh
work="$(mktemp -d)"
# An entry host refuses a secret file that other users can read.
umask 077
processes=()
stop() {
  kill "${processes[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

head -c 32 /dev/urandom | base64 >"$work/secret"
ports=(18101 18102 18103)
for i in 0 1 2; do
  peers=()
  for j in 0 1 2; do
    [ "$i" = "$j" ] || peers+=("{\"host\":\"ba-$j\",\"data_centre\":\"ba\",\"address\":\"127.0.0.1:1820$j\"}")
  done
  mkdir "$work/data-$i"
  cat >"$work/host-$i.json" <<EOJ
{"host": "ba-$i", "data_centre": "ba", "http_listen": "127.0.0.1:${ports[$i]}",
 "peer_listen": "127.0.0.1:1820$i", "secret_file": "$work/secret", "data_folder": "$work/data-$i",
 "peers": [$(IFS=,; echo "${peers[*]}")], "teams": [{"id": "tags"}]}
EOJ
  build/release/src/sapphirecrank run --settings "$work/host-$i.json" 2>"$work/host-$i.log" &
  processes+=($!)
done
hosts=("${ports[@]/#/127.0.0.1:}")
build/release/bench/bench_fake_target worker 12 8 ba "${hosts[@]}" >"$work/targets.log" &
processes+=($!)

# An entry host starts no tasks on a target in the first 2 s of its ownership, so wait until all 96
# slots have owners, and then for 2.5 s more.
slots=0
for _ in $(seq 100); do
  slots=0
  for host in "${hosts[@]}"; do
    slots=$((slots + $(curl -s "http://$host/v1/status" |
      python3 -c 'import json,sys; print(json.load(sys.stdin)["load"]["worker"]["slots"])' 2>/dev/null || echo 0)))
  done
  [ "$slots" = 96 ] && break
  sleep 0.1
done
sleep 2.5
echo "three entry hosts own $slots slots of twelve workers:"
for host in "${hosts[@]}"; do
  curl -s "http://$host/v1/status" | python3 -c '
import json, sys
s = json.load(sys.stdin)
print("  {}: {} workers, {} peers up".format(
    s["host"], len(s["targets"]), sum(p["up"] for p in s["peers"])))'
done

python3 - >"$work/job.json" <<'EOP'
import json, time
print(json.dumps({"submission": f"ba:{int(time.time() * 1000)}-demo", "team": "tags", "class": "ordinary", "deadline_ms": 20000,
                  "tasks": [{"kind": "tag", "payload": {"sleep_ms": 100, "echo": i}} for i in range(200)]}))
EOP
echo "submitting a job of 200 tasks of 100 ms to ${hosts[0]}"
curl -s -w '\n%{http_code} %{time_total}' -H 'Expect:' --data-binary "@$work/job.json" \
  "http://${hosts[0]}/v1/jobs" >"$work/response"
kill -TERM "${processes[3]}"
wait "${processes[3]}" || true
python3 - "$work/response" "$work/targets.log" <<'EOP'
import json, sys
body, trailer = open(sys.argv[1]).read().rsplit("\n", 1)
status, seconds = trailer.split()
response = json.loads(body)
started = int(open(sys.argv[2]).read().split("started ")[-1].split()[0])
print(f"HTTP status {status} after {float(seconds):.3f} s, state {response['state']}")
if response["state"] != "complete":
    print(body)
    sys.exit(1)
print("results:", response["results"])
print(f"tasks started on the workers: {started}")
ok = response["results"] == list(range(200)) and started == 200
print("complete response, each task started once" if ok else "WRONG RESPONSE OR STARTS")
sys.exit(0 if ok else 1)
EOP
