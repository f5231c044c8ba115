#!/bin/sh
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/vanillaward ] || [ ! -x review/bin/kit ]; then
  echo "build first: the command of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
exec review/bin/kit replaced-leaders review/5
