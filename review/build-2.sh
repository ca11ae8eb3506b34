#!/usr/bin/env bash
# No case of this review is a script, so that there is no stand-in to build.
set -euo pipefail
