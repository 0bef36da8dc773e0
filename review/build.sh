#!/bin/sh
# Builds the stand-ins of the review's scripts. The program under test is built
# by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/stand ./review/stand
