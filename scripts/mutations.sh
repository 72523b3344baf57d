#!/usr/bin/env bash
# Mutation test: disables one mechanism after the other in a temporary clone of the committed code and runs the test that
# covers it, which must fail. Prints a table, and exits with status 1 if a test passed in spite of the change or a change
# could not be applied.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git clone -q "$root" "$copy/code"
cd "$copy/code"
status=0
printf '| mechanism | test | outcome |\n|---|---|---|\n'
while IFS= read -r line; do
	case "$line" in '' | '#'*) continue ;; esac
	# Columns are separated by a bar between spaces. A bar within an expression is written in brackets.
	IFS=$'\t' read -r name file expression package test <<<"${line// | /$'\t'}"
	sed -i -E "$expression" "$file"
	if git diff --quiet; then
		outcome="NOT APPLIED"
	elif ! go vet "$package" >/dev/null 2>&1; then
		outcome="DOES NOT BUILD"
	elif go test -race -count=1 -timeout 120s -run "^$test\$" "$package" >"$copy/output" 2>&1; then
		outcome="NOT FOUND"
	else
		outcome="found"
	fi
	git checkout -q -- "$file"
	printf '| %s | %s | %s |\n' "$name" "$test" "$outcome"
	[ "$outcome" = found ] || status=1
done <"$root/scripts/mutations.txt"
exit $status
