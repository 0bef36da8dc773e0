#!/bin/sh
# Builds the stand-ins of the cases 11 and 12 into target/review/.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/stand3
