#!/bin/sh
# Builds the stand-ins and the scripts of the cases 4 to 8 into dist/review-2.
set -e
cd "$(dirname "$0")/.."
node --input-type=module -e "
import {existsSync} from 'node:fs';
import {bundle} from './scripts/bundle.mjs';
for (const name of ['engine', 'model_engine']) {
  await bundle('review/stand_ins_2/' + name + '.ts', 'dist/review-2/' + name + '.cjs');
}
for (const number of [4, 5, 6, 7, 8]) {
  const file = 'review/' + number + '/main.ts';
  if (existsSync(file)) await bundle(file, 'dist/review-2/main_' + number + '.cjs');
}
"
