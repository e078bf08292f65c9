#!/bin/sh
# Runs the tests, skipping exactly those that KNOWN-RED.txt lists.
#
# An entry of KNOWN-RED.txt starts with a line "test: <name> <package>". Tests with the same name
# in other packages run.
set -eu
cd "$(dirname "$0")/.."
known=""
if [ -f KNOWN-RED.txt ]; then
	known=$(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
packages=$(go list ./...)
status=0
for package in $(printf '%s\n' "$known" | cut -d ' ' -f 2 | sort -u); do
	names=$(printf '%s\n' "$known" | sed -n "s|^\([^ ]*\) $package\$|\1|p" | paste -sd '|' -)
	echo "passing over the tests of KNOWN-RED.txt in $package: $names"
	go test -timeout 8m -skip "^($names)\$" "$package" || status=1
	packages=$(printf '%s\n' "$packages" | grep -vxF "$package")
done
# shellcheck disable=SC2086 # One argument for each package.
go test -timeout 8m $packages || status=1
exit $status
