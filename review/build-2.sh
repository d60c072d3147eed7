#!/usr/bin/env bash
# Builds the stand-ins of the second review, at the repository's root. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig
