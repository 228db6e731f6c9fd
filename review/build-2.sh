#!/bin/sh
# Run once after the build of deploy/service.toml, before the scripts of the cases 4 to 8. Their stand-ins
# (review/rig2.py and the play.py of each case) need the standard library of Python 3.11 or newer alone, and nothing of
# standins/: this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - rig2.py 4/play.py 5/play.py 6/play.py 7/play.py 8/play.py <<'END'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
END
