#!/usr/bin/env bash
# Builds the program that plays the cases of review/11 to review/15, with its stand-ins. The build of deploy/system.toml
# comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/drive3
