#!/usr/bin/env bash
# Plays the days of deploy/days on site files and prints a table of rules broken
# and credit a day.
#   bench/own-days.sh BENCH SITE SEED...
# BENCH is the path of the bench program; a day is played once with each seed.
set -u
bench=$1 site=$2
shift 2
cd "$(dirname "$0")/.."
play() {
	local day=$1 seed=$2 name
	name=$(basename "$day" .toml)
	"$bench" run "$site" "$day" --seed "$seed" --why "own day $name" >"out/days/$name-$seed.txt" 2>&1
	grep -m1 -E "^$name" "out/days/$name-$seed.txt" | cut -c1-170 | sed "s/^/seed $seed /" || echo "seed $seed $name: not played: $(head -c 300 "out/days/$name-$seed.txt")"
}
mkdir -p out/days
for seed in "$@"; do
	for day in deploy/days/*.toml; do
		while [ "$(jobs -rp | wc -l)" -ge "${JOBS:-4}" ]; do wait -n; done
		play "$day" "$seed" &
	done
done
wait
