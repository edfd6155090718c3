#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the third review into target/review-3. Needs only what the deploy file's build
# needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile() {
    g++ -std=c++20 -O1 -o "target/review-3/$1" "$2" -lpthread
}
for case in review/1[1-5]/case.cpp; do
    compile "case-$(basename "$(dirname "$case")")" "$case"
done
