#!/usr/bin/env bash
# Builds the stand-ins and clients of cases 6 to 10 into review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
for part in net store lab engine; do
  g++ $flags -c "lib2/$part.cpp" -o "build-2/$part.o" &
done
wait
for source in 6/case.cpp 7/case.cpp 8/case.cpp 9/case.cpp 10/case.cpp; do
  [ -f "$source" ] || continue
  g++ $flags "$source" build-2/{net,store,lab,engine}.o -o "build-2/case-${source%%/*}"
done
