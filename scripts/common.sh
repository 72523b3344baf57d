# Functions for scripts that run pollenlead as separate processes. A script sources this file and calls begin first.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
directory=
declare -A pids=() # process IDs of what this script started, by name

say() { printf '%s %s\n' "$(date +%T)" "$*"; }

fail() {
	say "FAILED: $*" >&2
	exit 1
}

# begin makes the temporary directory and builds the binaries.
begin() {
	directory=$(mktemp -d)
	trap finish EXIT
	trap 'exit 130' INT TERM
	(cd "$root" && go build -o "$directory/bin/" ./cmd/pollenlead ./cmd/pollenctl)
	mkdir "$directory/logs"
}

# finish ends what this script started, also a stopped process, and removes the directory.
finish() {
	local status=$? name
	for name in "${!pids[@]}"; do
		kill -CONT "${pids[$name]}" 2>/dev/null
		kill -KILL "${pids[$name]}" 2>/dev/null
		wait "${pids[$name]}" 2>/dev/null
	done
	if [[ $status -ne 0 && -d $directory/logs ]]; then
		tail -n 5 "$directory"/logs/* >&2
	fi
	rm -rf "$directory"
	exit "$status"
}

# start NAME COMMAND... runs a command in the background and keeps its process ID.
start() {
	local name=$1
	shift
	"$@" >>"$directory/logs/$name" 2>&1 &
	pids[$name]=$!
}

# ended NAME waits for a process and returns its exit code.
ended() {
	local pid=${pids[$1]} status=0
	wait "$pid" || status=$?
	unset "pids[$1]"
	return "$status"
}

dev() {
	local tool=$1
	shift
	"$directory/bin/pollenlead" dev "$tool" --directory "$directory" "$@"
}

start_stand_ins() {
	start stand-ins "$directory/bin/pollenlead" dev stand-ins --directory "$directory" "$@"
	local n
	for ((n = 0; n < 300; n++)); do
		[[ -e $directory/addresses.json ]] && return
		kill -0 "${pids[stand-ins]}" 2>/dev/null || fail "the stand-ins have ended"
		sleep 0.1
	done
	fail "the stand-ins wrote no addresses"
}

start_entry() {
	start "$1" "$directory/bin/pollenlead" serve --settings "$directory/$1.yaml"
}

# operators_url prints the operators' URL of an entry instance, from its settings.
operators_url() {
	local key value
	while read -r key value; do
		if [[ $key == operators: ]]; then
			printf 'http://%s\n' "$value"
			return
		fi
	done <"$directory/$1.yaml"
}

publish() {
	local n
	for ((n = 0; n < 50; n++)); do
		if "$directory/bin/pollenctl" --operators "$(operators_url entry-1)" --key-file "$directory/operator.key" \
			apply "$directory/document.yaml" --expect 0 >>"$directory/logs/apply" 2>&1; then
			return
		fi
		# The first document may be published although its operator then no longer counts as the bootstrap operator.
		dev await --timeout 200ms 2>/dev/null && return
		sleep 0.2
	done
	fail "the document was not published"
}
