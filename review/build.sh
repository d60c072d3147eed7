#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
