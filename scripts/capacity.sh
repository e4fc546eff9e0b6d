#!/usr/bin/env bash
# Measures the resource cost of each role on real processes, one system size at a time, and
# prints the fitted slopes and the budget at the design size.
# Usage: capacity.sh [STEPS], a quoted, space-separated list; by default all steps.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
out=build/capacity
mkdir -p "$out"
: >"$out/points.jsonl"
trap cluster_stop EXIT
for step in ${1:-$(bin/agatewinch-bench capacity steps)}; do
	bin/agatewinch-bench capacity prepare --dir "$out" --step "$step"
	cluster_start "$out/$step"
	bin/agatewinch-bench capacity sample --dir "$out" --step "$step" >>"$out/points.jsonl"
	cluster_stop
done
bin/agatewinch-bench capacity report --dir "$out"
