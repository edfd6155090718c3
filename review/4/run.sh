#!/usr/bin/env bash
# A caller leaves its submission while the store is slow and cancels the job. TROUBLE=0: the store is as fast as ever.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || exit 2
exec target/review/standins cancelled-while-recorded review/4/record.txt
