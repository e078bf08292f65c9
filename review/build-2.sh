#!/bin/sh
# Builds the stand-ins of the second review (review/harness-2) into target/review-2. It needs
# no network: the module has no dependencies.
set -eu
cd "$(dirname "$0")/harness-2"
go build -buildvcs=false -o ../../target/review-2/ ./cmd/...
