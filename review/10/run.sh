#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../standin-2/run" "$(dirname "$0")" RowsOfWrites
