#!/bin/sh
# Plays a case: run-case.sh NAME FOLDER-OF-THE-CASE. Ends all processes that it started.
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
case_name=$1
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/limeway-balancer ] || [ ! -x target/review/standins ]; then
    echo "build first: the command in deploy/system.toml, then review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
finish() {
    if [ -f "$folder/processes" ]; then
        while read -r id; do
            # Only what is still a process of this run.
            if grep -q "$folder" "/proc/$id/environ" 2>/dev/null; then
                kill -9 "$id" 2>/dev/null
            fi
        done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 112 target/review/standins "$case_name" "$folder" "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
