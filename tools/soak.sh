#!/bin/sh
# Runs the randomised tests of the packages that decide about requests and
# configuration for a given time.
#
# usage: soak.sh <first seed> <length in seconds>
#
# Each round runs the tests of every package with the next seed, CHECKS random runs
# each (default 200). A failing run prints its seed and the shortest trace found, and
# ends the script.
set -eu
cd "$(dirname "$0")/.."
seed=$1
end=$(($(date +%s) + $2))
checks=${CHECKS:-200}
packages="steer/entry steer/region steer/peer steer/shift steer/link steer/store run/configuration"
binaries=$(mktemp -d)
trap 'rm -rf "$binaries"' EXIT
for package in $packages; do
	go test -c -o "$binaries/$(echo "$package" | tr / -).test" "./internal/$package"
done
runs=0
while [ "$(date +%s)" -lt "$end" ]; do
	for package in $packages; do
		name=$(echo "$package" | tr / -)
		if ! (cd "internal/$package" && GREENGAGETALLY_SOAK_SEED=$seed GREENGAGETALLY_SOAK_CHECKS=$checks \
			"$binaries/$name.test" -test.timeout 30m -rapid.seed "$seed" -rapid.checks "$checks" >"$binaries/$name.log" 2>&1); then
			cat "$binaries/$name.log"
			echo "$package fails with seed $seed and $checks checks" >&2
			exit 1
		fi
	done
	runs=$((runs + 1))
	echo "seed $seed passed"
	seed=$((seed + 1))
done
echo "$runs seeds of $checks random runs in each of: $packages"
