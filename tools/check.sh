#!/bin/sh
# Runs every test; the last line of output is "N passed, N failed".
set -u
BUILD=${BUILD:-build}
passed=0
failed=0
# Tests that KNOWN-RED.txt lists by a line "passed over: NAME".
red=$(sed -n 's/^ *passed over: //p' KNOWN-RED.txt)
unit_filter=$(printf '%s' "$red" | tr '\n' ':')

# Runs one step, counts its result and prints its output if it failed.
run()
{
	name=$1
	shift
	if "$@" >"$BUILD/check.out" 2>&1; then
		passed=$((passed + 1))
		echo "ok $name"
	else
		failed=$((failed + 1))
		echo "FAILED $name"
		tail -n 60 "$BUILD/check.out"
	fi
}

if [ -x "$BUILD/unit" ]; then
	code=0
	"$BUILD/unit" --gtest_brief=1 --gtest_filter="-$unit_filter" >"$BUILD/unit.out" 2>&1 || code=$?
	n=$(sed -n 's/^\[  PASSED  \] \([0-9]*\) test.*/\1/p' "$BUILD/unit.out" | head -1)
	f=$(grep -c '^\[  FAILED  \]' "$BUILD/unit.out")
	# A crash gives an exit code but no FAILED line: it counts as one failure.
	[ $code -eq 0 ] || [ "$f" -gt 0 ] || f=1
	[ $code -eq 0 ] || cat "$BUILD/unit.out"
	passed=$((passed + ${n:-0}))
	failed=$((failed + ${f:-0}))
	echo "unit: ${n:-0} passed, ${f:-0} failed"
fi
for script in tests/run/test_*.sh; do
	[ -e "$script" ] || continue
	printf '%s\n' "$red" | grep -qx "$script" && continue
	run "$script" env BUILD="$BUILD" sh "$script"
done
for example in "$BUILD"/example_*; do
	case $example in *.d | *'*') continue ;; esac
	run "$example" "$example"
done
if [ -x tools/fuzz.sh ] && [ -z "${SKIP_FUZZ:-}" ]; then
	for seed in 1 2 3; do
		run "fuzz seed $seed" env BUILD="$BUILD" RED="$red" SEED=$seed STEPS=50000 sh tools/fuzz.sh
	done
fi
run "soak seed 1" env BUILD="$BUILD" SEED=1 SECONDS_MAX=8 sh tests/soak/soak.sh
while read -r seed seconds cause; do
	case $seed in '#'*) continue ;; esac
	run "soak seed $seed ($cause)" env BUILD="$BUILD" SEED="$seed" SECONDS_MAX="$seconds" sh tests/soak/soak.sh </dev/null
done <tests/soak/seeds.txt
for name in $red; do
	echo "passed over: $name"
done
[ -s KNOWN-RED.txt ] && cat KNOWN-RED.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
