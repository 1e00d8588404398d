#!/bin/sh
# Runs clang-tidy over the sources. With CHANGED=REV only over the files that changed since REV.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
sources=$(git ls-files --cached --others --exclude-standard 'src/*.cpp' | grep -v '^src/generated/.*Types.cpp$')
if [ -n "${CHANGED:-}" ]; then
  changed=$(git diff --name-only "$CHANGED" -- 'src/*.cpp'; git ls-files --others --exclude-standard 'src/*.cpp')
  sources=$(echo "$sources" | grep -Fx "$changed" || true)
fi
[ -n "$sources" ] || exit 0
echo "$sources" | xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
