#!/bin/sh
# repeat.sh N: runs case N five times, then once without the disruption.
cd "$(dirname "$0")/../.."
for run in 1 2 3 4 5; do
    sh "review/$1/run.sh"; code=$?
    echo "case $1 run $run: exit $code; $(tail -1 "review/$1/record.txt")"
done
TROUBLE=0 sh "review/$1/run.sh"; code=$?
echo "case $1 TROUBLE=0: exit $code; $(tail -1 "review/$1/record.txt")"
