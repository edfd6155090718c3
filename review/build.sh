#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs nothing beyond the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standins review/standins/main.cc
