#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=5 110 node dist/review/3.cjs
case $? in
  0) exit 0 ;;
  # Node.js itself ends with 1 on an error, so a broken rule has its own code.
  10) exit 1 ;;
  *) exit 2 ;;
esac
