#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon. The stand-ins are Python files of these folders,
# which need nothing but the standard library; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast, glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
for path in ["lib-2/site_standins.py", *glob.glob("*/case.py")]:
    with open(path) as f:
        ast.parse(f.read(), path)
PY
