#!/bin/sh
# Fails when the committed generated code differs from what the generators produce.
set -eu
cd "$(dirname "$0")/.."
sh tools/generate.sh
if [ -n "$(git status --porcelain -- internal/api)" ]; then
	git status --porcelain -- internal/api
	echo "generated code is not up to date: run make generate" >&2
	exit 1
fi
