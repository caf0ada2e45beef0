#!/bin/sh
# The scripts' stand-ins are Python programs (fakes/platform_site.py of the project, and
# review/*/*.py), so there is nothing to compile; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'CHECK'
import ast, glob
for name in ["fakes/platform_site.py", "fakes/site_links.py", *glob.glob("review/**/*.py", recursive=True)]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
import asyncio, http.client, json, tomllib
CHECK
