#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/stand2 ./review/stand2
