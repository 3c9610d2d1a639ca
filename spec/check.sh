#!/usr/bin/env bash
# Checks the models of the core protocol exhaustively, and that spin finds a
# violation in each variant that has one safeguard taken out. NO_xxx in the
# heading of a model names such a variant; WITH_xxx names another rule for the
# same protocol, which has to pass as the model itself does.
#
# usage: spec/check.sh [model ...]
set -euo pipefail

readonly MAX_JOBS=4
readonly MEMORY_MB=2000
readonly MAX_DEPTH=1000000
readonly TIME_LIMIT_S=240
readonly SPEC_DIR=$(cd "$(dirname "$0")" && pwd)

for tool in spin gcc; do
	if ! command -v "$tool" >/dev/null 2>&1; then
		echo "spec/check.sh: $tool is missing" >&2
		exit 2
	fi
done

WORK=$(mktemp -d)
readonly WORK
touch "$WORK/passing" "$WORK/failing"
trap 'rm -rf "$WORK"' EXIT

# variants MODEL lists the defines that the model's heading declares.
variants() {
	sed -nE 's/^ \*   ((NO|WITH)_[A-Z_]+).*/\1/p' "$SPEC_DIR/$1.pml"
}

# used MODEL lists the defines that the model's text tests.
used() {
	grep -E '^#(if|elif)' "$SPEC_DIR/$1.pml" | grep -oE '(NO|WITH)_[A-Z_]+'
}

# check MODEL [VARIANT] runs one search and prints one line. A model has to
# pass a complete search, a NO_ variant has to fail an assertion.
check() {
	local model=$1 variant=${2:-} name=$1 dir verdict errors states depth seconds
	local -a defines=()
	if [ -n "$variant" ]; then
		name="$model/$variant"
		defines=("-D$variant")
	fi
	dir="$WORK/$name"
	mkdir -p "$dir"
	cd "$dir"
	if ! spin "${defines[@]}" -a "$SPEC_DIR/$model.pml" >spin.out 2>&1 ||
		! gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=1024 -DMEMLIM=$MEMORY_MB -o pan pan.c >gcc.out 2>&1; then
		echo "FAIL $name: does not build"
		sed 's/^/    /' spin.out gcc.out 2>/dev/null | head -20
		return
	fi
	timeout "$TIME_LIMIT_S" ./pan -m$MAX_DEPTH >pan.out 2>&1 || true
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
	states=$(awk '/states, stored/ { print $1; exit }' pan.out)
	depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.out)
	seconds=$(sed -n 's/.*elapsed time \([0-9.e-]*\) seconds.*/\1/p' pan.out)
	verdict=FAIL
	if [[ $variant != NO_* ]]; then
		if [ "$errors" = 0 ] && ! grep -qE 'Search not completed|search depth too small|out of memory|VECTORSZ' pan.out; then
			verdict=ok
		fi
	elif [ "${errors:-0}" -ge 1 ] && grep -q 'assertion violated' pan.out; then
		verdict=ok
	fi
	echo "$verdict $name: states ${states:-?}, depth ${depth:-?}, ${seconds:-?} s$(sed -n 's/^pan:1: \(.*\) (at depth.*/, \1/p' pan.out | cut -c1-100)"
	if [ "$verdict" = FAIL ]; then
		grep -E '^pan|error|not completed|limit' pan.out | sed 's/^/    /' | head -10
	fi
}
export -f check
export WORK SPEC_DIR MEMORY_MB MAX_DEPTH TIME_LIMIT_S

models=("$@")
if [ ${#models[@]} -eq 0 ]; then
	for file in "$SPEC_DIR"/*.pml; do
		models+=("$(basename "$file" .pml)")
	done
fi

for model in "${models[@]}"; do
	if ! diff <(variants "$model" | sort -u) <(used "$model" | sort -u); then
		echo "spec/check.sh: variants of $model differ from those in its heading" >&2
		exit 2
	fi
	echo "$model" >>"$WORK/passing"
	for variant in $(variants "$model"); do
		if [[ $variant == WITH_* ]]; then
			echo "$model $variant" >>"$WORK/passing"
		else
			echo "$model $variant" >>"$WORK/failing"
		fi
	done
done
# The long searches first: those that have to be complete.
cat "$WORK/passing" "$WORK/failing" >"$WORK/runs"

xargs -P "$MAX_JOBS" -L 1 bash -c 'check "$@"' check <"$WORK/runs" | tee "$WORK/results"

passed=$(grep -c '^ok ' "$WORK/results" || true)
failed=$(($(wc -l <"$WORK/runs") - passed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
