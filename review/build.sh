#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The daemons are built by the
# deploy file's command.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin
