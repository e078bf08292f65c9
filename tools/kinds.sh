#!/bin/sh
# Runs each fault scenario of deploy/kinds alone on a site of the users' bench and
# prints its score and the rules that it broke.
#
# usage: kinds.sh <fleetbench> <site file> [seed]
set -eu
cd "$(dirname "$0")/.."
bench=$1
site=$2
seed=${3:-77}
for day in deploy/kinds/*.toml; do
	out=$("$bench" run "$site" "$day" --seed "$seed" --why "$(basename "$day" .toml) alone" 2>&1) || true
	worth=$(printf '%s\n' "$out" | sed -n 's/^worth \([0-9.-]*\) = .*/\1/p')
	broken=$(printf '%s\n' "$out" | sed -n 's/.*BROKEN: *//p')
	echo "$(basename "$day" .toml): worth ${worth:-none}${broken:+, broken: $broken}"
done
