#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:target/review-3
python3 -c "import platform_3, burdockthread.platform_process" || exit 2
exec python3 review/15/case.py
