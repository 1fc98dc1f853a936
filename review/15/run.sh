#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule broke.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:target/review-3 exec python3 review/15/case.py
