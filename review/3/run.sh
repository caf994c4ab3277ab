#!/bin/sh
# Plays the case. TROUBLE=0 leaves out the disruption. Status: 1 the rule was broken, 0 it
# held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/standin || exit 2
exec target/standin -case rollout -folder review/3
