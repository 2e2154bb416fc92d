#!/usr/bin/env bash
# Plays the case of this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/godwithub-platform ] && [ -x target/drive3 ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec target/drive3 damaged review/15
