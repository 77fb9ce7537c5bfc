#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3/. They need nothing but a C++17 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-3/standin-3 review/standin-3/main.cc
