#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves its disruption out. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case" 1
