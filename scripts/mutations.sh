#!/usr/bin/env bash
# Changes one mechanism after the other on a scratch copy of the committed code and runs the test that guards it, which has to fail.
# Prints a table, and exits with 1 if a change went unnoticed or could not be made.
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
	# The separator is a bar between spaces; a bar within an expression stands in brackets.
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
