#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the deploy file's program. Their
# stand-ins are Python modules, the project's own (fakes/platform_site.py) among them, which need
# no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - fakes/platform_site.py fakes/site_links.py review/1[1-5]/*.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
