#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/harness ] || exit 2
exec review/target/harness -case restart-beside-scale-in -root . -dir review/3
