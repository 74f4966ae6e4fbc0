#!/usr/bin/env bash
# Verifies a promela model exhaustively. Usage: check_model.sh MODEL.pml holds|fails [-DNAME ...]
set -euo pipefail
model=$(realpath "$1")
expected=$2
shift 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin -a "$@" "$model" >/dev/null
cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
# -E: an owner that is fenced or out of slots may end anywhere.
./pan -m200000 -E >out.txt
cat out.txt
if grep -qE 'Search not completed|max search depth too small|memory limit' out.txt; then complete=no; else complete=yes; fi
if grep -q 'assertion violated' out.txt; then found=fails; else found=holds; fi
[ "$found" = "$expected" ] || { echo "the model $found; expected: it $expected"; exit 1; }
[ "$found" = fails ] || [ "$complete" = yes ] || { echo "the search was not exhaustive"; exit 1; }
