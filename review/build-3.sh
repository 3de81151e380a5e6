#!/bin/sh
# Checks that the stand-ins of the third review can run; they are Python scripts, so that there is nothing to compile. The programs under
# test come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in standins-3/world.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="ascii").read(), sys.argv[1])' "$file" || exit 1
done
python3 -c 'import asyncio, sys; sys.exit(0 if hasattr(asyncio, "timeout") else "Python 3.11 is needed")' || exit 1
for program in proxy/waxwing-proxy control/waxwing-control; do
    [ -x "../target/programs/$program" ] || { echo "target/programs/$program is missing: build as the deploy file says" >&2; exit 1; }
done
