#!/bin/bash
# Plays a case of the second review: play-2.sh CASE FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/gentiantally-gateway target/review-2/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the deploy file, then review/build-2.sh" >&2
        exit 2
    fi
done
target/review-2/standin "$1" "$2"
code=$?
tail -n 1 "$2/record.txt"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
