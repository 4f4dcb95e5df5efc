#!/usr/bin/env bash
# Joins the compiled front daemon and its libraries into one file, and compiles it ahead: a VM that
# restarts would wait for several hundred files to be read, and for their code to be compiled.
# usage: bundle-front.sh FOLDER, with the compiled sources; writes FOLDER/front.cjs and what it reads
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
esbuild=(node_modules/.bin/esbuild --bundle --platform=node --target=node20 --format=cjs
	--log-level=warning --legal-comments=none)
# Undici loads HTTP/2, which no target speaks.
"${esbuild[@]}" "$folder/programs/front/run-front.js" --outfile="$folder/front-code.cjs" \
	--alias:node:http2=./scripts/lib/no-http2.cjs \
	--define:import.meta.url=moduleUrl \
	--banner:js="const moduleUrl = require('node:url').pathToFileURL(__filename).href;"
"${esbuild[@]}" "$folder/programs/front/start-joined.js" --outfile="$folder/front.cjs"
# The flags are those of deploy/system.toml.
node --max-old-space-size=96 --max-semi-space-size=2 "$folder/programs/front-cache.js" "$folder"
