#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in raisedlimit frozendirectory; do
    g++ -std=c++17 -O1 -Wall -Wextra -DBOOST_COROUTINES_NO_DEPRECATION_WARNING -o "target/review-2/$name" \
        "review/standins-2/$name.cpp" review/standins-2/deployment.cpp -lboost_coroutine -lboost_context -lboost_system -lpthread
done
