#!/usr/bin/env bash
# Checks format (clang-format) and lint (clang-tidy). Usage: scripts/lint.sh [--format-only | FILE.cpp ...]
# A file that was clean is passed over while it, the project's headers that it includes, the checks and the tools' packages
# stay the same; the record is in ${LINT_CACHE:-~/.cache/primroseworks-lint}, where one file takes 25 s to check.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
[ "${1:-}" = --format-only ] && exit 0
cmake -S . -B build-tidy -G Ninja -DPRIMROSE_TIDY=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
export LINT_CACHE=${LINT_CACHE:-$HOME/.cache/primroseworks-lint}
mkdir -p "$LINT_CACHE"
LINT_TOOLS=$({ cat .clang-tidy CMakeLists.txt; dpkg-query -W $(grep -v '^#' .ci/packages); } | sha256sum)
export LINT_TOOLS
lint_one() {
  local sources key
  # The dependencies as make rules: "x.o: x.cpp a.h \". A file that does not parse is left to clang-tidy.
  sources=$(clang++ -std=c++20 -D__cpp_impl_coroutine=201902L -DASIO_STANDALONE -DASIO_HAS_CO_AWAIT=1 \
    -DASIO_HAS_STD_COROUTINE=1 -D_WEBSOCKETPP_CPP11_STL_ -Isrc/include -Isrc -I. -Itestsuite/faults -MM "$1" 2>/dev/null |
    sed 's/^[^:]*://' | tr -d '\\\n') || sources=
  key=
  if [ -n "$sources" ]; then
    # shellcheck disable=SC2086
    key=$({ echo "$LINT_TOOLS $1"; sha256sum $sources; } | sha256sum | cut -d' ' -f1)
    [ -e "$LINT_CACHE/$key" ] && return 0
  fi
  clang-tidy -p build-tidy --quiet "$1" || return 1
  [ -z "$key" ] || touch "$LINT_CACHE/$key"
}
export -f lint_one
if [ $# -gt 0 ]; then files=$(printf '%s\n' "$@"); else files=$(git ls-files -co --exclude-standard 'src/*.cpp' 'examples/*.cpp' 'testsuite/*.cpp' 'platform/*.cpp' | grep -v '_fuzz\.cpp$'); fi
if ! printf '%s\n' $files | xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one {}' >build-tidy/lint.txt 2>&1; then
  grep -vE 'warnings? generated|^Suppressed|^Use -header-filter' build-tidy/lint.txt
  exit 1
fi
echo "lint: clean"
