#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec build-review-2/case-8 review/8/record.txt
