#!/bin/sh
# Builds the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")"
mkdir -p build
${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -o build/standin standin/standin.cc
