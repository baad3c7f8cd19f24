#!/bin/sh
# Builds the project's stand-ins that the scripts of the second review start; needs no network.
cd "$(dirname "$0")/.." && exec node node_modules/typescript/bin/tsc -b packages/standins
