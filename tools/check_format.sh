#!/bin/sh
# Checks that all sources are formatted and the generated files are current; with --write, makes them so.
set -eu
cd "$(dirname "$0")/.."
sources=$(git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp')
if [ "${1:-}" = "--write" ]; then
  tools/generate_types.py
  tools/generate_settings_page.py
  echo "$sources" | xargs clang-format -i
  exit 0
fi
tools/generate_types.py --check
tools/generate_settings_page.py --check
echo "$sources" | xargs clang-format --dry-run --Werror
