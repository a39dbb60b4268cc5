#!/bin/sh
# Builds the stand-ins that the scripts start: modules of the project and of this folder.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q wasabimux review
PYTHONPATH=target/deps:. python3 -c "import review.harness"
