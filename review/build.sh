#!/bin/sh
# Builds the stand-ins of the cases: plain Python of the standard library, so it only checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - harness/*.py [0-9]/*.py <<'P'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
P
