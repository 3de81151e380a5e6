#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python modules in this folder, so that this only checks them.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c 'import ast, glob; [ast.parse(open(path).read(), path) for path in glob.glob("*.py") + glob.glob("*/*.py")]'
