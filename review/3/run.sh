#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/lacewingd ] && [ -x review/bin/stand ] || { echo "build first" >&2; exit 2; }
exec review/bin/stand -dir "$here" versions
