#!/bin/sh
# Builds the stand-ins that the scripts of the review start. It needs no network.
cd "$(dirname "$0")/standin" || exit 1
mkdir -p ../bin && exec go build -o ../bin/reviewstandin .
