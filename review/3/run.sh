#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout --kill-after=5 115 "$python" -B case.py
