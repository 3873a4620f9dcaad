#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xmx256m -cp target/review RanAndRefusedCase review/4/record.txt
