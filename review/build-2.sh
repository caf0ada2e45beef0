#!/bin/sh
# The stand-ins of the scripts in review/6 to review/10 are Python programs, which need no
# build; this checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import ast, glob
for name in [path for number in range(6, 11) for path in glob.glob(f"{number}/**/*.py", recursive=True)]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
import asyncio, json, tempfile
CHECK
