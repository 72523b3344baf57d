#!/usr/bin/env bash
# Ablation: switches off one policy mechanism after the other in a temporary clone of the committed code, plays days of a
# deployment with and without it in turn, and prints a table of the mean worth. The mechanisms are in scripts/ablate.txt.
#
# usage: FLEETBENCH=PROGRAM scripts/ablate.sh SITE DAYS SEEDS [MECHANISM]
#   DAYS and SEEDS are separated by commas, and JOBS (default 3) plays run at a time. MECHANISM is a part of the name of
#   the mechanisms to play; without it, all are played.
# The journal entries of the plays are copied to journal/.
set -euo pipefail
if [ $# -lt 3 ] || [ -z "${FLEETBENCH:-}" ]; then
	sed -n '5,7p' "${BASH_SOURCE[0]}"
	exit 2
fi
export FLEETBENCH
site=$(realpath "$1")
days=${2//,/ }
seeds=${3//,/ }
only=${4:-}
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git clone -q "$root" "$copy/with"
git clone -q "$root" "$copy/without"

# play CODE NAME plays all days with all seeds, some at a time, and writes their worth to CODE.worth.
play() {
	cd "$copy/$1"
	for seed in $seeds; do
		for day in $days; do echo "$day $seed"; done
	done | xargs -P "${JOBS:-3}" -L 1 bash -c '"$FLEETBENCH" run "$0" "$2" --seed "$3" --why "ablation, $1, seed $3"' \
		"$site" "$1 $2" | sed -nE 's/^worth (-?[0-9.]+) = .*/\1/p' >"$copy/$1.worth"
	cd "$root"
}

mean() { awk '{ sum += $1 } END { printf "%.3f", NR ? sum / NR : 0 }' "$1"; }

printf '| mechanism | plays | with | without | worth |\n|---|---|---|---|---|\n'
while IFS= read -r line; do
	case "$line" in '' | '#'*) continue ;; esac
	# Columns are separated by a bar between spaces. A bar within an expression is written in brackets.
	IFS=$'\t' read -r name file expression <<<"${line// | /$'\t'}"
	case "$name" in *"$only"*) ;; *) continue ;; esac
	(cd "$copy/without" && git checkout -q -- . && sed -i -E "$expression" "$file")
	if git -C "$copy/without" diff --quiet -- "$file"; then
		printf '| %s | NOT APPLIED | | | |\n' "$name"
		continue
	fi
	if ! (cd "$copy/without" && go vet "./$(dirname "$file")" >/dev/null 2>&1); then
		printf '| %s | DOES NOT BUILD | | | |\n' "$name"
		continue
	fi
	play with "$name"
	play without "$name"
	with=$(mean "$copy/with.worth") without=$(mean "$copy/without.worth")
	printf '| %s | %s | %s | %s | %s |\n' "$name" "$(wc -l <"$copy/without.worth")" "$with" "$without" \
		"$(awk -v a="$with" -v b="$without" 'BEGIN { printf "%+.3f", a - b }')"
done <"$root/scripts/ablate.txt"
for code in with without; do
	git -C "$copy/$code" status --porcelain -- journal | awk '{ print $2 }' | while read -r entry; do
		cp -r "$copy/$code/$entry" "$root/journal/"
	done
done
