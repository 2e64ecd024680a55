#!/usr/bin/env bash
# The stand-ins are Python programs that use its standard library only; nothing has to be compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile lib/standin.py
for case in [0-9]*/case.py; do python3 -m py_compile "$case"; done
rm -rf lib/__pycache__ [0-9]*/__pycache__
