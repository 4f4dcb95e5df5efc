#!/usr/bin/env bash
# Joins the compiled front daemon and its libraries into one file, which a VM that restarts reads in
# a fraction of the time of several hundred.
# usage: bundle-front.sh FOLDER, with the compiled sources; writes FOLDER/front.mjs
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild "$1/programs/front/run-front.js" --bundle --platform=node --target=node20 \
	--format=esm --log-level=warning --legal-comments=none --outfile="$1/front.mjs" \
	--banner:js="import {createRequire as requireFrom} from 'node:module'; const require = requireFrom(import.meta.url);"
