#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec build-review-2/case-10 review/10/record.txt
