#!/usr/bin/env bash
# Runs the whole system on loopback, injects a few faults, and checks the results that
# callers got. Ends by itself and leaves no process running.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
hold=

# base is the first port of an unused range of 1,000: a folder reserves the range against
# another demo that starts at the same time.
taken() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
for base in $(seq 17000 1000 32000); do
  mkdir "/tmp/comfreyplank-demo-$base" 2>/dev/null || continue
  hold="/tmp/comfreyplank-demo-$base"
  used=
  for offset in 101 102 103 201 202 203 301 302 401 402 501 502 503 504 505 506; do
    if taken $((base + offset)); then used=$((base + offset)); fi
  done
  [ -z "$used" ] && break
  echo "port $used is taken; trying another range"
  rmdir "$hold"
  hold=
done
[ -n "$hold" ] || { echo "no free range of ports from 17000 to 32999; remove /tmp/comfreyplank-demo-* of demos that were killed"; exit 1; }

cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$work"
  rmdir "$hold"
}
trap cleanup EXIT

start() { # start NAME COMMAND...: runs a process with a log of that name
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

ready() ( # ready PORT: whether the entry passes its readiness check
  exec 3<>"/dev/tcp/127.0.0.1/$1" || exit 1
  printf 'GET /comfreyplank/ready HTTP/1.0\r\n\r\n' >&3
  read -r _ status _ <&3
  [ "$status" = 200 ]
) 2>/dev/null

# await WHAT COMMAND...: repeats the command until it succeeds. On a busy machine it reports
# a delay after 10 s, and gives up after two minutes.
await() {
  local what=$1 begun=$SECONDS told=
  shift
  until "$@" >"$work/last" 2>&1; do
    if [ $((SECONDS - begun)) -ge 120 ]; then
      echo "late: $what did not come in two minutes; the last try said:"
      cat "$work/last"
      exit 1
    fi
    if [ -z "$told" ] && [ $((SECONDS - begun)) -ge 10 ]; then
      echo "late: $what takes longer than 10 s; waiting on"
      told=yes
    fi
    sleep 0.1
  done
}

peers=(--peer c1=127.0.0.1:$((base + 101)) --peer c2=127.0.0.1:$((base + 102)) --peer c3=127.0.0.1:$((base + 103)))
for i in 1 2 3; do
  start "c$i" bin/control --name "c$i" --data "$work/c$i" --listen "127.0.0.1:$((base + 100 + i))" --admin "127.0.0.1:$((base + 200 + i))" "${peers[@]}"
done
control=(--control 127.0.0.1:$((base + 101)) --control 127.0.0.1:$((base + 102)) --control 127.0.0.1:$((base + 103)))
for i in 1 2; do
  start "e$i" bin/entry --name "e$i" --data-centre dc-1 --listen "127.0.0.1:$((base + 300 + i))" --admin "127.0.0.1:$((base + 400 + i))" --notice 1s "${control[@]}"
done
endpoints=(1 2 3 4 5 6)
for i in "${endpoints[@]}"; do
  : >"$work/runs$i"
  start "s$i" bin/standin --service rounds --name "rounds-$i" --first "127.0.0.1:$((base + 500 + i))" --record "$work/runs$i" --entry 127.0.0.1:$((base + 301)) --entry 127.0.0.1:$((base + 302))
done
records=()
for i in "${endpoints[@]}"; do records+=(--record "$work/runs$i"); done
ctl() { bin/ctl --control 127.0.0.1:$((base + 201)) --control 127.0.0.1:$((base + 202)) --control 127.0.0.1:$((base + 203)) "$@"; }

echo "== the first configuration"
await "the first configuration" ctl apply docs/example.json
cat "$work/last"
for i in 1 2; do
  await "entry e$i" ready "$((base + 300 + i))"
done
serving() { [ "$(ctl status | grep -c ' serving ')" -ge "${#endpoints[@]}" ]; }
await "an endpoint" serving
ctl status

echo "== mixed load, while things happen"
bin/bench load --target 127.0.0.1:$((base + 301)) --target 127.0.0.1:$((base + 302)) --rate 600 --once-percent 20 --duration 14s --warmup 1s \
  "${records[@]}" --max-refused-percent 1 >"$work/load" 2>&1 &
load=$!
pids+=("$load")
sleep 3
echo "-- draining rounds-2"
await "the departure of rounds-2" ctl drain rounds rounds-2 --wait 5s
cat "$work/last"
sleep 2
echo "-- killing rounds-6"
kill -9 "$pid_s6"
sleep 2
echo "-- killing the replica that leads"
leads() { leader=$(ctl status | awk '$2 == "leader" {print $1; exit}') && [ -n "$leader" ]; }
await "a leader" leads
eval "kill -9 \$pid_$leader"
sleep 2
echo "-- changing the configuration"
change() { ctl document | sed 's/"queue-limit": 200/"queue-limit": 300/' >"$work/next.json" && ctl apply "$work/next.json"; }
await "the change" change
cat "$work/last"
echo "-- stopping entry e2 as planned"
# Callers of e2 are moved by the platform; here its share of the load ends with it.
status=0
wait "$load" || status=$?
kill -TERM "$pid_e2"
wait "$pid_e2" || { echo "BROKEN: e2 did not stop gracefully"; status=1; }
cat "$work/load"
echo "== the time line, the last 40 events"
ctl timeline | tail -40
[ "$status" -eq 0 ] && echo "demo: every promise was kept" || echo "demo: a promise was broken"
exit "$status"
