#!/usr/bin/env bash
# Measures the control overhead of each of 9 entry instances at three sizes of the fleet, under a light load, and prints a
# table. Exits with a non-zero status if a limit of the design is exceeded: 1.5 % of a core, 128 MB, 28 KB/s.
# usage: [LOAD_OPTIONS="--no-jobs"] measure-control.sh [WORKERS:POOLS:TEAMS...]
set -uo pipefail
# shellcheck source=scripts/common.sh
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"

sizes=("$@")
[[ ${#sizes[@]} -gt 0 ]] || sizes=(50:6:6 300:18:14 860:38:26)
seconds=30
status=0

measure() {
	local workers pools teams n name
	IFS=: read -r workers pools teams <<<"$1"
	rm -f "$directory/addresses.json"
	start_stand_ins --workers "$workers" --pools "$pools" --teams "$teams" --entries 9
	for ((n = 1; n <= 9; n++)); do start_entry "entry-$n"; done
	publish
	dev await --timeout 60s || fail "the entry instances did not become ready within 60 s"
	start load "$directory/bin/pollenlead" dev load --directory "$directory" --for $((seconds + 10))s --rate 0.5 --no-changes --no-watch ${LOAD_OPTIONS:-}
	sleep 5
	dev measure --for "${seconds}s" --label "$workers / $pools / $teams" || status=1
	wait_for load || fail "the light load failed"
	for ((n = 1; n <= 9; n++)); do kill -TERM "${pids[entry-$n]}"; done
	for ((n = 1; n <= 9; n++)); do wait_for "entry-$n"; done
	kill -TERM "${pids[stand-ins]}"
	wait_for stand-ins
}

setup
echo "| workers / pools / teams | instance | % of a core | resident MB | control KB/s sent | received | peers sent/received | log | list | worker leases | requests/s | log appends/s |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|"
for size in "${sizes[@]}"; do measure "$size"; done
exit "$status"
