#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Their sources end in .go.txt, so
# that the project's own checks of Go files do not take them in.
set -eu
cd "$(dirname "$0")"
rm -rf target/harness-source
mkdir -p target/harness-source
cp harness/go.mod target/harness-source/go.mod
for source in harness/*.go.txt; do
	name=${source##*/}
	cp "$source" "target/harness-source/${name%.txt}"
done
cd target/harness-source
go build -o ../harness .
