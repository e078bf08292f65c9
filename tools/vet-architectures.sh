#!/bin/sh
# Checks that the code and its tests compile for the other kind of machine, without C
# parts. The linter and the tests cover the kind on which they run.
set -eu
cd "$(dirname "$0")/.."
other=amd64
if [ "$(go env GOHOSTARCH)" = amd64 ]; then
	other=arm64
fi
echo "go vet for $other"
CGO_ENABLED=0 GOARCH=$other exec go vet ./...
