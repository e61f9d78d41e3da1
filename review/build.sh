#!/usr/bin/env bash
# Bundles the stand-ins and the checks of the cases into dist/review.
set -eu
cd "$(dirname "$0")/.."
for folder in review/[0-9]; do
  [ -f "$folder/main.ts" ] || continue
  node --input-type=module -e '
    import {bundle} from "./scripts/bundle.mjs";
    await bundle(process.argv[1] + "/main.ts", process.argv[2]);
  ' "./$folder" "dist/review/$(basename "$folder").cjs"
done
