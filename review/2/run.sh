#!/bin/bash
# Channels to the store that rest fall silent; exit code 1 if a key that was
# taken away is still served after the bound.
exec node "$(dirname "$0")/run.mjs"
