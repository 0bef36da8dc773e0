#!/bin/sh
# Runs the case against target/hyssopbridge and writes record.txt beside this
# file. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/hyssopbridge ] && [ -x target/review/stand ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
exec target/review/stand earlier-birth "$here/record.txt"
