#!/usr/bin/env bash
# Runs benchmark scenarios on real processes, with one cluster per policy in parallel, and
# writes the results as JSON lines to build/bench/results.jsonl and as tables and plots to
# build/bench/report.html.
# Usage: bench.sh [SCENARIOS] [SEEDS] [SIZES] [POLICIES], each a quoted, space-separated list.
# BENCH_OUT sets another output directory, and BENCH_PORT the first port of the processes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
scenarios=${1:-"haneul vatuwaqa reclaim liars"}
seeds=${2:-"1 2 3"}
sizes=${3:-"haneul vatuwaqa"}
policies=${4:-"fifo guaranteed"}
out=${BENCH_OUT:-build/bench}
first_port=${BENCH_PORT:-12000}
mkdir -p "$out"
: >"$out/results.jsonl"
trap cluster_stop EXIT
for size in $sizes; do
	for scenario in $scenarios; do
		for seed in $seeds; do
			dir=$out/$size-$scenario-$seed
			bin/agatewinch-bench prepare --dir "$dir" --size "$size" --policy "${policies// /,}" --first-port "$first_port"
			for policy in $policies; do
				cluster_start "$dir/$policy"
				gate=$(cluster_port "$dir/$policy/gate-1.yaml")
				AGATEWINCH_KEY=bench-key- bin/agatewinchctl --gate "http://127.0.0.1:$gate" apply -f "$dir/config" >/dev/null
			done
			sleep 3
			bin/agatewinch-bench run --targets "$dir/targets.yaml" --scenario "$scenario" --seed "$seed" --size "$size" \
				--policy "${policies// /,}" --jobs "$dir/jobs" --json | tee -a "$out/results.jsonl"
			cluster_stop
		done
	done
done
bin/agatewinch-bench report --in "$out/results.jsonl" --out "$out/report.html"
