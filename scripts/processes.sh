#!/usr/bin/env bash
# Runs entry instances as processes of their own, kills, freezes and replaces them under load, and checks from what callers
# and workers saw that no promise is broken. Prints one report per phase and exits non-zero if a promise is broken.
set -uo pipefail
# shellcheck source=scripts/common.sh
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"

entries=(entry-1 entry-2 entry-3)
broken=()

# load PHASE OPTIONS... starts the load of a phase in the background.
load() {
	local phase=$1
	shift
	say "phase $phase"
	"$directory/bin/pollenlead" dev load --directory "$directory" --output json "$@" \
		>"$directory/report-$phase" 2>>"$directory/logs/load-$phase" &
	pids[load]=$!
}

# verdict PHASE waits for the load of a phase and prints its report.
verdict() {
	local status=0
	ended load || status=$?
	say "report $1: $(cat "$directory/report-$1")"
	if [[ $status -ne 0 ]]; then
		broken+=("$1")
		cat "$directory/logs/load-$1" >&2
	fi
}

# crash NAME kills an entry instance. The platform's list drops it a second later.
crash() {
	say "kill -9 $1"
	kill -KILL "${pids[$1]}"
	ended "$1" 2>/dev/null
	sleep 1
	dev listed "$1" no
}

bring_back() {
	say "start $1"
	start_entry "$1"
	dev listed "$1" yes
	dev await "$1" || fail "$1 is not ready again"
	say "$1 is ready"
}

freeze() {
	say "SIGSTOP $1 for $2 s"
	kill -STOP "${pids[$1]}"
	sleep "$2"
	kill -CONT "${pids[$1]}"
	say "SIGCONT $1"
}

replace_gracefully() {
	say "SIGTERM $1"
	kill -TERM "${pids[$1]}"
	ended "$1" || broken+=("exit code of $1")
	dev listed "$1" no
	bring_back "$1"
}

begin
start_stand_ins
for name in "${entries[@]}"; do start_entry "$name"; done
publish
dev await || fail "the entry instances are not ready"
say "3 entry instances are ready"

load graceful --for 30s --no-unknown
sleep 3
for name in "${entries[@]}"; do
	replace_gracefully "$name"
	sleep 1
done
verdict graceful

load killed --for 25s
sleep 4
crash entry-1
sleep 2
bring_back entry-1
verdict killed

load frozen-3s --for 12s --no-changes
sleep 4
freeze entry-2 3
verdict frozen-3s

# Requests work ten times as long, so that the teams nearly use up their limits while their holder is frozen.
load frozen-15s --for 30s --no-changes --work-factor 10
sleep 6
freeze entry-3 15
verdict frozen-15s

load log --for 45s --no-changes
sleep 2
say "the next 20 answers of the log are lost"
dev fault log '{"lose_answers": 20}'
sleep 6
say "log outage for 15 s"
dev fault log '{"outage": true}'
sleep 15
dev fault log '{}'
say "the log is back"
sleep 4
say "log outage for 15 s with a crash"
dev fault log '{"outage": true}'
sleep 4
crash entry-2
sleep 10
dev fault log '{}'
say "the log is back"
bring_back entry-2
verdict log

if [[ ${#broken[@]} -gt 0 ]]; then
	fail "broken in: ${broken[*]}"
fi
say "no promise was broken"
