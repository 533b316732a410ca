#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs no network.
set -e
cd "$(dirname "$0")/stage"
GOWORK=off go build -o ../bin/stage .
