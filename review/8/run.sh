#!/usr/bin/env bash
# All processes are killed right after the departure of a worker was acknowledged, and an earlier check-in arrives late.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/drive2 ] || { echo "target/drive2 is missing: run review/build-2.sh"; exit 2; }
exec ../../target/drive2 departed-worker .
