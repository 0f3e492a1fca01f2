#!/usr/bin/env bash
# Builds the scripts of the cases 6 to 10 and their stand-ins in
# target/review-2/. Run it after the build of the deploy file, which builds the
# program that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,8,10}/script.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O2 -Wall -Wextra "$source" review/rig-2/stand_ins.cc \
    -pthread -o "target/review-2/case-$number"
done
