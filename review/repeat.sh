#!/usr/bin/env bash
# Runs the script of a case five times with its disruption and once without, and prints the exit codes.
# Usage: review/repeat.sh N
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "review/$1/run.sh" >/dev/null
echo "case $1 without the disruption: exit $?"
for i in 1 2 3 4 5; do
    "review/$1/run.sh" >/dev/null
    echo "case $1 run $i: exit $?"
done
