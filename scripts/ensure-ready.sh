#!/usr/bin/env bash
# Installs the dependencies and builds the programs if they are missing or older than their inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
	npm ci --prefer-offline --no-progress >&2
	touch node_modules/.package-lock.json
fi
if [ ! -f dist/.tsbuildinfo ] || [ -n "$(find src tsconfig.json -newer dist/.built -print -quit 2>/dev/null || echo missing)" ]; then
	node node_modules/typescript/bin/tsc -p tsconfig.json >&2
	bash scripts/bundle-front.sh dist >&2
	touch dist/.built
fi
