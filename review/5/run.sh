#!/usr/bin/env bash
# Runs case 5; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
exec "$(dirname "$0")/../standin/run" 5
