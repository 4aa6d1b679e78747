#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into
# target/review-2. The program itself is built by the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview \
    -o "target/review-2/case-$number" "$source" review/deployment-2.cc
done
