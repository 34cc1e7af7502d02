#!/bin/sh
# The stand-ins are plain Python; this compiles them, which shows mistakes.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins.py */case.py
