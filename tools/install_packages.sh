#!/usr/bin/env bash
# Installs the packages of packages.txt that are still missing.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
        | grep -q 'install ok installed' || missing+=("$package")
done <"$here/packages.txt"
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${run[@]}" \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
