#!/usr/bin/env bash
# A manifest takes the key of the only tenant away: its list of tenants is empty. All keys are good from then on.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/drive2 ] || { echo "target/drive2 is missing: run review/build-2.sh"; exit 2; }
exec ../../target/drive2 last-key .
