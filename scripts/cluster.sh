# Functions to start and stop the processes of one cluster; sourced by other scripts.
# cluster_start DIR starts the stand-in, schedulers and gates whose settings are in DIR. Next
# to each settings file it writes the process's log (.log) and, for agatewinch-bench capacity,
# its process ID (.pid).

cluster_pids=()

cluster_run() {
	local log=$1
	shift
	"$@" >"$log" 2>&1 &
	cluster_pids+=($!)
}

cluster_wait_port() {
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
		sleep 0.1
	done
	echo "port $1 does not accept connections" >&2
	return 1
}

cluster_port() { sed -n 's/^listen: .*:\([0-9]*\)$/\1/p' "$1"; }

cluster_start() {
	local dir=$1 file kind
	for kind in standin scheduler gate; do
		for file in "$dir/$kind"*.yaml; do
			cluster_run "${file%.yaml}.log" "bin/agatewinch-$kind" --settings "$file"
			echo "${cluster_pids[-1]}" >"${file%.yaml}.pid"
		done
		for file in "$dir/$kind"*.yaml; do cluster_wait_port "$(cluster_port "$file")"; done
	done
}

cluster_stop() {
	local pid
	for pid in "${cluster_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	sleep 1
	for pid in "${cluster_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${cluster_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	cluster_pids=()
}
