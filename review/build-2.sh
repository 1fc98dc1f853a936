#!/bin/sh
# Builds what the scripts of the second review start besides the program of the deploy
# file: the stand-ins of deployment.py, which use the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/deployment.py target/review-2/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
PYTHONPATH=target/deps:target/review-2 python3 -c "import deployment"
