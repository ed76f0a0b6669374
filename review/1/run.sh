#!/bin/bash
# Rolling restart of a small fleet; exit code 1 if accepted streams are lost.
exec node "$(dirname "$0")/run.mjs"
