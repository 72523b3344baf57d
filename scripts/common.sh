# Functions for scripts that run pollenlead as separate processes. A script sources this file and calls setup first.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
directory=
declare -A pids=() # process IDs of the processes that this script started, by name

# log_line prints a message with the time.
log_line() { printf '%s %s\n' "$(date +%T)" "$*"; }

# fail prints a message and exits with status 1.
fail() {
	log_line "FAILED: $*" >&2
	exit 1
}

# setup creates the temporary directory and builds the binaries.
setup() {
	directory=$(mktemp -d)
	trap cleanup EXIT
	trap 'exit 130' INT TERM
	(cd "$root" && go build -o "$directory/bin/" ./cmd/pollenlead ./cmd/pollenctl)
	mkdir "$directory/logs"
}

# cleanup kills all processes that this script started, including stopped ones, and removes the directory.
cleanup() {
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

# start NAME COMMAND... runs a command in the background and records its process ID.
start() {
	local name=$1
	shift
	"$@" >>"$directory/logs/$name" 2>&1 &
	pids[$name]=$!
}

# wait_for NAME waits until a process has ended and returns its exit code.
wait_for() {
	local pid=${pids[$1]} status=0
	wait "$pid" || status=$?
	unset "pids[$1]"
	return "$status"
}

# dev TOOL ARGUMENTS... runs a development tool of pollenlead on the directory.
dev() {
	local tool=$1
	shift
	"$directory/bin/pollenlead" dev "$tool" --directory "$directory" "$@"
}

# start_stand_ins starts the stand-ins and waits until they have written their addresses.
start_stand_ins() {
	start stand-ins "$directory/bin/pollenlead" dev stand-ins --directory "$directory" "$@"
	local n
	for ((n = 0; n < 300; n++)); do
		[[ -e $directory/addresses.json ]] && return
		kill -0 "${pids[stand-ins]}" 2>/dev/null || fail "the stand-ins ended before they wrote their addresses"
		sleep 0.1
	done
	fail "the stand-ins wrote no addresses within 30 s"
}

start_entry() {
	start "$1" "$directory/bin/pollenlead" serve --settings "$directory/$1.yaml"
}

# operators_url NAME prints the URL for operators of an entry instance, read from its settings file.
operators_url() {
	local key value
	while read -r key value; do
		if [[ $key == operators: ]]; then
			printf 'http://%s\n' "$value"
			return
		fi
	done <"$directory/$1.yaml"
}

# publish publishes the first document, and retries until an entry instance accepts it.
publish() {
	local n
	for ((n = 0; n < 50; n++)); do
		if "$directory/bin/pollenctl" --operators "$(operators_url entry-1)" --key-file "$directory/operator.key" \
			apply "$directory/document.yaml" --expect 0 >>"$directory/logs/apply" 2>&1; then
			return
		fi
		# A repeated publication fails if a previous one succeeded but its response was lost, because the bootstrap operator
		# is valid only until the first document is in force. If the entry instances are ready, the document is published.
		dev await --timeout 200ms 2>/dev/null && return
		sleep 0.2
	done
	fail "the first document was not published in 50 attempts"
}
