#!/bin/sh
# TROUBLE=0 plays the case without the disruption, and must pass.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
