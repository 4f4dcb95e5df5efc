#!/usr/bin/env bash
# Bundles the compiled front daemon and its libraries into one file, and writes V8's code cache for it.
# Without bundle and cache, a starting daemon has to read and compile several hundred files.
# Usage: bundle-front.sh FOLDER
# FOLDER holds the output of the compiler; front.cjs and the files that it loads are written there.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
esbuild=(node_modules/.bin/esbuild --bundle --platform=node --target=node20 --format=cjs
	--log-level=warning --legal-comments=none)
# Replaces node:http2, which undici imports, by a stub: no target uses HTTP/2.
"${esbuild[@]}" "$folder/programs/front/run-front.js" --outfile="$folder/front-code.cjs" \
	--alias:node:http2=./scripts/lib/no-http2.cjs \
	--define:import.meta.url=moduleUrl \
	--banner:js="const moduleUrl = require('node:url').pathToFileURL(__filename).href;"
"${esbuild[@]}" "$folder/programs/front/start-joined.js" --outfile="$folder/front.cjs"
# The flags have to be those of deploy/system.toml: V8 rejects a cache written under other flags.
node --max-old-space-size=96 --max-semi-space-size=2 "$folder/programs/front-cache.js" "$folder"
