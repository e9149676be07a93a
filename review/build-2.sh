#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
npx --no-install esbuild packages-private/stand-ins/src/index.ts --bundle --platform=node --main-fields=module,main --format=cjs --target=node20 --log-level=warning --outfile=target/review-2/stand-ins.cjs
