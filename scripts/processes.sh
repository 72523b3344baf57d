#!/usr/bin/env bash
# Runs entry instances as separate processes, and kills, freezes and restarts them under load. The observations of callers
# and workers show whether a guarantee is violated. Prints one report per phase and exits with a non-zero status if a
# guarantee is violated.
set -uo pipefail
# shellcheck source=scripts/common.sh
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"

entries=(entry-1 entry-2 entry-3)
violated=()

# start_load PHASE OPTIONS... starts the load of a phase in the background.
start_load() {
	local phase=$1
	shift
	log_line "phase $phase"
	"$directory/bin/pollenlead" dev load --directory "$directory" --output json "$@" \
		>"$directory/report-$phase" 2>>"$directory/logs/load-$phase" &
	pids[load]=$!
}

# report_phase PHASE waits until the load of a phase has ended and prints its report.
report_phase() {
	local status=0
	wait_for load || status=$?
	log_line "report $1: $(cat "$directory/report-$1")"
	if [[ $status -ne 0 ]]; then
		violated+=("$1")
		cat "$directory/logs/load-$1" >&2
	fi
}

# crash_entry NAME kills an entry instance. It is removed from the platform's instance list a second later.
crash_entry() {
	log_line "kill -9 $1"
	kill -KILL "${pids[$1]}"
	wait_for "$1" 2>/dev/null
	sleep 1
	dev listed "$1" no
}

# restart_entry NAME starts an entry instance, adds it to the instance list and waits until it is ready.
restart_entry() {
	log_line "start $1"
	start_entry "$1"
	dev listed "$1" yes
	dev await "$1" || fail "$1 did not become ready after its restart"
	log_line "$1 is ready"
}

# freeze_entry NAME SECONDS stops an entry instance with SIGSTOP for a time.
freeze_entry() {
	log_line "SIGSTOP $1 for $2 s"
	kill -STOP "${pids[$1]}"
	sleep "$2"
	kill -CONT "${pids[$1]}"
	log_line "SIGCONT $1"
}

# restart_gracefully NAME shuts an entry instance down with SIGTERM and starts it again.
restart_gracefully() {
	log_line "SIGTERM $1"
	kill -TERM "${pids[$1]}"
	wait_for "$1" || violated+=("exit code of $1")
	dev listed "$1" no
	restart_entry "$1"
}

setup
start_stand_ins
for name in "${entries[@]}"; do start_entry "$name"; done
publish
dev await || fail "the entry instances did not become ready"
log_line "3 entry instances are ready"

start_load graceful --for 30s --no-unknown
sleep 3
for name in "${entries[@]}"; do
	restart_gracefully "$name"
	sleep 1
done
report_phase graceful

start_load killed --for 25s
sleep 4
crash_entry entry-1
sleep 2
restart_entry entry-1
report_phase killed

start_load frozen-3s --for 12s --no-changes
sleep 4
freeze_entry entry-2 3
report_phase frozen-3s

# Requests take ten times as long, so that the usage of the teams is close to their limits while an entry instance with
# granted units is frozen.
start_load frozen-15s --for 30s --no-changes --work-factor 10
sleep 6
freeze_entry entry-3 15
report_phase frozen-15s

start_load log --for 45s --no-changes
sleep 2
log_line "losing the next 20 responses of the log"
dev fault log '{"lose_answers": 20}'
sleep 6
log_line "log outage for 15 s"
dev fault log '{"outage": true}'
sleep 15
dev fault log '{}'
log_line "the log is back"
sleep 4
log_line "log outage for 15 s with a crash"
dev fault log '{"outage": true}'
sleep 4
crash_entry entry-2
sleep 10
dev fault log '{}'
log_line "the log is back"
restart_entry entry-2
report_phase log

if [[ ${#violated[@]} -gt 0 ]]; then
	fail "guarantees violated in: ${violated[*]}"
fi
log_line "no guarantee was violated"
