#!/usr/bin/env bash
# Starts the stand-in platform and the gates and schedulers of two availability zones,
# applies examples/config, runs one gang job, prints its result and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=build/quickstart
mkdir -p "$logs"
pids=()
stop_all() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}
wait_port() {
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
		sleep 0.1
	done
	echo "port $1 does not accept connections; see the logs in $logs" >&2
	return 1
}
start standin bin/agatewinch-standin --settings examples/settings/standin.yaml
wait_port 7100
for zone in kr-a kr-b; do
	start "scheduler-$zone" bin/agatewinch-scheduler --settings "examples/settings/scheduler-$zone.yaml"
	start "gate-$zone" bin/agatewinch-gate --settings "examples/settings/gate-$zone.yaml"
done
for port in 7301 7302 7401 7402; do wait_port "$port"; done
ctl() { bin/agatewinchctl --gate http://127.0.0.1:7401 "$@"; }
AGATEWINCH_KEY=example-operator-key ctl apply -f examples/config
# Waits up to 10 s until both schedulers report all 48 accelerators of their zone as free.
for _ in $(seq 50); do
	free=$(AGATEWINCH_KEY=example-operator-key ctl status -o json | grep -c '"free_accelerators": 48' || true)
	[ "$free" -ge 2 ] && break
	sleep 0.2
done
AGATEWINCH_KEY=example-haneul-key ctl submit "quickstart-$$" --class reconcile --cells 2 --cell-size 8 --cpu 8 --run-seconds 1 -o json
