#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library (3.9 or later): nothing is to be built but the
# project's program itself, by the command of deploy/balancer.toml. Offline, after that build, this does nothing more.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p cresswheel -p cresswheel-cli
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3)
"$python" -B -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
