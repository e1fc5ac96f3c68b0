#!/bin/sh
# The stand-ins of cases 6 to 10 are Python scripts of this folder, which need the standard library alone (3.9 or
# later) and nothing built. This checks that they can be read; the programs under test come from the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
test -x target/release/cresswheel || { echo 'target/release/cresswheel is missing: run the deploy file'"'"'s build' >&2; exit 1; }
python3 - <<'PY'
import ast, glob, sys
assert sys.version_info >= (3, 9), sys.version
for name in glob.glob("review/common-2/*.py") + [n for i in range(6, 11) for n in glob.glob("review/%d/*.py" % i)]:
    ast.parse(open(name).read(), name)
PY
