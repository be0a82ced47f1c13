#!/usr/bin/env bash
# Makes a scratch copy of a checkout that can be played on the small twins of large
# deployments. The twins have machines of two further classes, which the deploy file
# must give a role; here that role does nothing. Figures of such plays are trials.
#   bench/small-twin.sh CHECKOUT COPY
set -euo pipefail
checkout=$1 copy=$2
if [ -d "$copy" ]; then
	git -C "$copy" fetch -q "$checkout" HEAD
	git -C "$copy" reset -q --hard FETCH_HEAD
else
	git clone -q "$checkout" "$copy"
fi
cat >>"$copy/deploy/system.toml" <<'ROLES'

[roles.idle-store]
run = "/bin/sleep 100000"
on = "store"
share = 1.0
serves = ["store"]
template = "deploy/settings.yaml"

[roles.idle-core]
run = "/bin/sleep 100000"
on = "core"
share = 1.0
serves = []
template = "deploy/settings.yaml"
ROLES
