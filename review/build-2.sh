#!/bin/sh
# Prepares the stand-ins that the scripts in review/4 to review/8 start. They are Python, as is the project's own stand-in
# that they import, so nothing is compiled: this checks that each of them can be read by the interpreter. The programs
# of the project are built by the command of deploy/system.toml, into target/.
set -e
cd "$(dirname "$0")/.."
for file in platform/standin/platform_standin.py review/standin-2/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
