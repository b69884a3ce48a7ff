#!/bin/sh
# TROUBLE=0 plays the same without the disruption (read in ../lib/deployment.mjs).
export TROUBLE="${TROUBLE:-1}"
exec node "$(dirname "$0")/case.mjs"
