#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the programs of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/drive2
