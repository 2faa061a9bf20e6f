#!/usr/bin/env bash
# Mutation tests of code that no schedule runs: builds each mutant of case_mutations.txt in a temporary directory
# and shows that its test cases catch it. usage: run_case_mutations.sh; the exit code is 1 if one is not caught.
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
(cd "$top" && git ls-files -z Source platform Standins Tests bench CMakeLists.txt | xargs -0 cp --parents -t "$work")
cd "$work" || exit 1
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-O0 \
    -DCUMINWINCH_WARNINGS_AS_ERRORS=OFF >/dev/null || exit 1

# build: builds the test cases; its output goes to build.log.
build() { cmake --build build --parallel --target cw_tests >build.log 2>&1; }

# passes PATTERN: true if the test cases exist and pass.
passes() {
    build/bin/cw_tests --test-case="$1" >cases.log 2>&1 && ! grep -q 'test cases: *0 ' cases.log
}

build || { tail -20 build.log; exit 1; }
missed=0
total=0
while IFS= read -r line; do
    case $line in '' | '#'*) continue ;; esac
    IFS='|' read -r name file old new cases <<<"${line// | /|}"
    new=${new# } cases=${cases# }
    total=$((total + 1))
    text=$(cat "$top/$file"; printf x)
    changed=${text/"$old"/"$new"}
    if [ "$text" = "$changed" ] || ! passes "$cases"; then
        echo "$name: its text is not in $file, or its cases fail without it"
        missed=$((missed + 1))
        continue
    fi
    printf %s "${changed%x}" >"$work/$file"
    if ! build; then
        echo "$name: does not compile"
        missed=$((missed + 1))
    elif passes "$cases"; then
        echo "$name: NOT CAUGHT by $cases"
        missed=$((missed + 1))
    else
        echo "$name: caught by $(sed -n 's/^TEST CASE:  //p' cases.log | sort -u | paste -sd' ')"
    fi
    cp "$top/$file" "$work/$file"
    build
done <"$top/Tests/Mutations/case_mutations.txt"
echo "case mutations $total, not caught $missed"
[ "$missed" -eq 0 ]
