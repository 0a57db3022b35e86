#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 -c "import http.server, json, subprocess" || exit 2
exec python3 case.py
