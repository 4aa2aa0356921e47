#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/out/; needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
flags=(-std=c++17 -O2 -Wall -Wextra -Wpedantic -Werror -pthread)
sources=(standins/*.cpp)
for source in "${sources[@]}"; do
    g++ "${flags[@]}" -c "$source" -o "out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
    wait "$job"
done
objects=()
for source in "${sources[@]}"; do
    objects+=("out/$(basename "$source" .cpp).o")
done
for main in [1-5]/main.cpp; do
    g++ "${flags[@]}" "$main" "${objects[@]}" -o "out/case-$(dirname "$main")"
done
