#!/bin/bash
# Compiles the project's own stand-ins, which the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
npx tsc -b packages/kelpspar-standins
