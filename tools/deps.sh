#!/bin/sh
# Installs the Debian packages of tools/packages.txt that are missing.
set -eu
dir=$(dirname "$0")
missing=""
while read -r package; do
	state=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
	[ "$state" = installed ] || missing="$missing $package"
done <"$dir/packages.txt"
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
