#!/bin/sh
# Runs every fuzz test for the given time; usage: fuzz.sh <time>.
set -eu
cd "$(dirname "$0")/.."
grep -rl --include='*_test.go' '^func Fuzz' internal platform | while read -r file; do
	sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file" | while read -r name; do
		go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "$1" </dev/null
	done
done
