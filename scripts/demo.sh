#!/usr/bin/env bash
# Starts a whole site on 127.0.0.1 and sends a load through it while a router is killed, the log has an outage, a region
# is cut off from the platform during a top-up, and every router is upgraded. Exits with the code of the check of the
# fleet's promises. Logs and reports go to demo-logs/.
set -euo pipefail
cd "$(dirname "$0")/.."

platform=http://127.0.0.1:19000
logs=demo-logs
load_seconds=42
grace_seconds=15
old_version=1.0.0
new_version=1.1.0
lost_router=router-3
cut_region=mindanao-a
cut_seconds=10
regions=(luzon-a luzon-a visayas-a visayas-a mindanao-a mindanao-a)
declare -A pids

# start NAME COMMAND... runs a command in the background and remembers its process.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop_all ends the processes that this script started, and no others: the routers first, since they return
# their shares through the log.
stop_all() {
  stop_named router-
  stop_named ""
}

# stop_named ends the processes whose names begin with a prefix.
stop_named() {
  local name
  for name in "${!pids[@]}"; do
    [[ $name == "$1"* ]] && kill "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    [[ $name == "$1"* ]] || continue
    stop_at_last "${pids[$name]}"
    unset "pids[$name]"
  done
}

# stop_at_last waits for a process and kills it if it outlives the grace time.
stop_at_last() {
  local tenths
  for ((tenths = 0; tenths < grace_seconds * 10; tenths++)); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
  echo "demo: process $1 outlived the grace time" >&2
  kill -9 "$1" 2>/dev/null || true
}

# check_running fails if a process that was started has ended, such as one whose address was in use.
check_running() {
  local name
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended"
  done
}

# fail prints the ends of the logs and exits.
fail() {
  echo "demo: $1" >&2
  tail -n 5 "$logs"/*.log >&2 || true
  exit 1
}

start_surroundings() {
  local i urls=("$platform/healthz")
  start platform bin/standin platform --listen 127.0.0.1:19000 --append-rate 400 --delay 1ms
  for i in 0 1 2 3 4 5; do
    start "engine-$i" bin/standin engine --listen "127.0.0.1:1910$i" --name "engine-$i" --token-delay 20ms
    urls+=("http://127.0.0.1:1910$i/healthz")
  done
  for i in 0 1 2; do
    start "service-$i" bin/standin service --listen "127.0.0.1:1920$i" --name "service-$i" --delay 5ms
    urls+=("http://127.0.0.1:1920$i/healthz")
  done
  bin/standin wait --timeout 15s "${urls[@]}" || fail "a stand-in does not answer"
  check_running
}

# make_certificates lets the routers know each other.
make_certificates() {
  local i
  bin/dragonflyctl certificate authority "$logs/certificates" >"$logs/certificates.log"
  for i in 1 2 3 4 5 6; do
    bin/dragonflyctl certificate issue "router-$i" "$logs/certificates" --authority "$logs/certificates" >>"$logs/certificates.log"
  done
}

# start_routers VERSION NUMBER... starts routers of a version and waits until they are ready.
start_routers() {
  local version=$1 i region zone urls=()
  shift
  for i in "$@"; do
    region=${regions[i - 1]}
    zone=$region$((2 - i % 2))
    bin/standin control "$platform/control/instances" --body \
      "{\"Name\":\"router-$i\",\"Address\":\"127.0.0.1:1930$i\",\"Region\":\"$region\",\"AvailabilityZone\":\"$zone\"}"
    start "router-$i" "$logs/$version/router" --listen "127.0.0.1:1930$i" --admin-listen "127.0.0.1:1940$i" \
      --platform "$platform/callers/$region" --instance "router-$i" --region "$region" --availability-zone "$zone" \
      --peer-listen "127.0.0.1:1950$i" --tls-certificate "$logs/certificates/router-$i.pem" \
      --tls-key "$logs/certificates/router-$i-key.pem" --tls-authority "$logs/certificates/authority.pem" --drain-delay 1s
    urls+=("http://127.0.0.1:1940$i/readyz")
  done
  bin/standin wait --timeout 30s "${urls[@]}" || fail "a router is not ready"
  check_running
}

submit_tickets() {
  local ticket
  for ticket in examples/demo/*.yaml; do
    bin/dragonflyctl ticket submit --platform "$platform" "$ticket" || fail "$ticket was not accepted"
  done
}

# begin_load sends requests to all routers in the background.
begin_load() {
  local targets=() i
  for i in 1 2 3 4 5 6; do
    targets+=(--target "http://127.0.0.1:1930$i")
  done
  start load bin/standin load "${targets[@]}" \
    --key 'studio-luzon=demo-key-luzon;studio-cebu=demo-key-cebu' \
    --budget 'studio-cebu=studio-cebu-main,studio-cebu-main,studio-cebu-main,studio-cebu-trial' \
    --requests 100000 --duration "${load_seconds}s" --rate 40 --concurrency 256 \
    --report "$logs/load.json" --plot "$logs/load.svg"
}

kill_router() {
  echo "demo: killing $lost_router"
  kill -9 "${pids[$lost_router]}"
  wait "${pids[$lost_router]}" 2>/dev/null || true
  unset "pids[$lost_router]"
}

stop_log() {
  echo "demo: the log is down for 5 s"
  bin/standin control "$platform/control/log/outage?For=5s"
}

# cut_off_region tops up a budget while the routers of a region can't reach the platform.
cut_off_region() {
  echo "demo: $cut_region is cut off from the platform for $cut_seconds s"
  bin/standin control "$platform/control/callers/$cut_region/outage?For=${cut_seconds}s"
  sleep 2
  echo "demo: topping up studio-cebu-trial"
  bin/dragonflyctl ticket submit --platform "$platform" examples/later/5-top-up.yaml || fail "the top-up was not accepted"
  sleep 4
  bin/dragonflyctl fleet status --platform "$platform"
  sleep "$((cut_seconds - 6))"
}

# upgrade replaces one router after the other by one of the new version.
upgrade() {
  local i
  echo "demo: upgrading from $old_version to $new_version"
  for i in 3 1 2 4 5 6; do
    stop_named "router-$i"
    start_routers "$new_version" "$i"
    [[ $i != 2 ]] || bin/dragonflyctl fleet status --platform "$platform"
  done
}

end_load() {
  wait "${pids[load]}" || echo "demo: the load met faults"
  unset "pids[load]"
  echo "demo: the load has ended"
  bin/dragonflyctl fleet status --platform "$platform"
}

# check_promises waits for bills and for the settlement of the lost router.
check_promises() {
  local endpoints=() i code=0
  for i in 0 1 2 3 4 5; do
    endpoints+=(--engine "http://127.0.0.1:1910$i")
  done
  for i in 0 1 2; do
    endpoints+=(--service "http://127.0.0.1:1920$i")
  done
  bin/standin check --platform "$platform" --report "$logs/load.json" --record "${endpoints[@]}" \
    --live 6 --wait 60s >"$logs/check.log" || code=$?
  bin/standin report "$logs/load.json" --plot "$logs/load.svg"
  cat "$logs/check.log"
  bin/dragonflyctl budget list --platform "$platform" || fail "budgets can't be listed"
  return "$code"
}

rm -rf "$logs"
mkdir -p "$logs"
trap stop_all EXIT
make --no-print-directory build
make --no-print-directory build BIN="$logs/$old_version" VERSION="$old_version"
make --no-print-directory build BIN="$logs/$new_version" VERSION="$new_version"
start_surroundings
make_certificates
# Budgets are accepted in the ledger, which takes a router; the others start with the tickets in force.
start_routers "$old_version" 1
submit_tickets
start_routers "$old_version" 2 3 4 5 6
begin_load
sleep 4
kill_router
sleep 3
stop_log
sleep 8
cut_off_region
sleep 1
upgrade
end_load
check_promises
