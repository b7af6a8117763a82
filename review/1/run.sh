#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" agreement "$(dirname "$0")"
