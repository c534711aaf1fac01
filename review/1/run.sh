#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
