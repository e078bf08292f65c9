#!/bin/sh
# Generates the code under internal/api from the files in api/.
set -eu
cd "$(dirname "$0")/.."
for name in entry operator platform; do
	ogen --target "internal/api/${name}api" --package "${name}api" --clean "api/${name}.yaml"
done
(cd api && buf generate --template buf.gen.yaml)
