#!/usr/bin/env bash
# Switches mechanisms off one by one, each in a scratch clone of HEAD, and compares
# each clone with HEAD on the same days and seeds.
#
#   bench/ablate.sh BENCH SITE FOLDER "COMPARE OPTIONS" [PATCH...]
#
# PATCH are files of bench/ablation/; without any, all are tried. Results are kept in
# FOLDER/results.json, so that a later call plays only what is missing.
set -euo pipefail
bench=$1 site=$2 folder=$3 options=$4
shift 4
here=$(cd "$(dirname "$0")" && pwd)
[ $# -gt 0 ] || set -- "$here"/ablation/*.patch
mkdir -p "$folder"
checkouts=()
clone() {
	[ -d "$folder/$1" ] || git clone -q "$here/.." "$folder/$1"
	checkouts+=("$1=$folder/$1")
}
clone whole
for patch in "$@"; do
	name=$(basename "$patch" .patch)
	if [ ! -d "$folder/$name" ]; then
		clone "$name"
		git -C "$folder/$name" apply "$(realpath "$patch")"
	else
		clone "$name"
	fi
done
# shellcheck disable=SC2086 # the options are several words
"$here"/compare.py "$bench" "$site" "${checkouts[@]}" $options --results "$folder/results.json"
