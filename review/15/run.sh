#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: every order is answered.
# KEEP=1 keeps the settings and the logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/same_millisecond ] || exit 2
exec target/review/same_millisecond "review/15/record.txt"
