#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are plain scripts (review/lib-2). Nothing is compiled; this checks that they
# can be parsed and that the daemon of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/front.cjs
for script in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
	if [ -f "$script" ]; then
		node --check "$script"
	fi
done
