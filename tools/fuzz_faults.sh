#!/bin/sh
# Builds each deliberate fault of tests/fuzz/faults in a scratch copy of the
# tree and checks that fuzzing finds it within the steps and seeds of CI.
# FAULTS selects some of them by a pattern of names.
set -u
STEPS=${STEPS:-50000}
SEEDS=${SEEDS:-1 2 3}
FAULTS=${FAULTS:-*}
MAKE=${MAKE:-make}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0
found=0

cp -a Makefile include src tests "$scratch"
build() {
	(cd "$scratch" && $MAKE -j4 build/fuzz_execution build/fuzz_membership \
		build/fuzz_drain) \
		>"$scratch/make.out" 2>&1
}
if ! build; then
	cat "$scratch/make.out"
	exit 1
fi

# search PROGRAM sets result to the first violation and where it was found.
search() {
	result=""
	for seed in $SEEDS; do
		"$scratch/build/fuzz_$1" --seed "$seed" --steps "$STEPS" \
			>"$scratch/fuzz.out" 2>&1 && continue
		result="seed $seed: $(sed -n 's/^\(VIOLATION\|FAILED\) at //p' "$scratch/fuzz.out")"
		[ "$result" = "seed $seed: " ] && result="seed $seed: stopped"
		return
	done
}

for program in execution membership drain; do
	search $program
	if [ -n "$result" ]; then
		echo "fuzz_$program without a fault: $result"
		exit 1
	fi
done
printf '%-44s %s\n' fault found
for patch in tests/fuzz/faults/$FAULTS.patch; do
	name=$(basename "$patch" .patch)
	program=${name%%_*}
	if ! patch -s -p1 -d "$scratch" <"$patch"; then
		result=""
		what="PATCH DOES NOT APPLY"
	elif ! build; then
		result=""
		what="DOES NOT BUILD"
	else
		search "$program"
		what=${result:-NOT FOUND}
	fi
	if [ -n "$result" ]; then
		found=$((found + 1))
	else
		missed=$((missed + 1))
	fi
	printf '%-44s %s\n' "$name" "$what"
	for file in $(sed -n 's|^+++ b/||p' "$patch"); do
		cp "$file" "$scratch/$file"
	done
done
echo "$found faults found, $missed missed (seeds $SEEDS, $STEPS steps)"
[ "$missed" -eq 0 ]
