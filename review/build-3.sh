#!/usr/bin/env bash
# Builds the scripts of the third review, with their stand-ins, in
# target/review-3/. Run it after the build of the deploy file, which builds the
# program that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/script.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra "$source" -pthread \
    -o "target/review-3/case-$number"
done
