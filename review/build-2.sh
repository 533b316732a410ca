#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/stage-2"
GOWORK=off go build -o ../../target/stage-2 .
