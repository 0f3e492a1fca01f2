#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -Ireview/rig \
    "$source" review/rig/rig.cc -o "target/review/case-$name"
done
