#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q wasabimux/platform/standins review/second
for folder in 6 7 8 9 10; do
    [ ! -e "review/$folder/case.py" ] || python3 -m compileall -q "review/$folder"
done
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.second.rounds, review.second.paged_store"
