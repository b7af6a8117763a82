#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" memory "$(dirname "$0")"
