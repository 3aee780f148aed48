#!/usr/bin/env bash
# Builds, tests and runs chivelock. Run without arguments for the list of commands.
set -euo pipefail
cd "$(dirname "$0")"

# The daemon's build packages are listed only in the deploy file: with a second, complete list here, a package that is
# missing from the deploy file would go unnoticed.
mapfile -t deploy_packages < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr , '\n')
packages=("${deploy_packages[@]}" ccache pkg-config python3 libboost-test-dev)
lint_packages=(clang-format clang-tidy)
fuzz_packages=(clang libclang-rt-14-dev)

usage() {
    cat <<'TEXT'
./build.sh COMMAND
  install   install the packages that building needs (Debian, as root)
  build     build everything into build/
  test      install, build, and run all tests through ctest
  lint      formatter and linter over our own sources
  demo      three entries of New England: lookups, a ticket, a killed entry, a failed leaf
  matrix    every fault at every step, in virtual time: table of cases and violations
  bench     the decision cores under load, in virtual time: table and CSV under out/
  capacity  measure the slopes and derive the table of docs/CAPACITY.md from them
  faults    real processes under load: kills, pauses, platform outage (depends on the machine's speed; not in CI)
  sanitize  the tests under address, undefined and thread sanitizers
  soak      real gateways, simulated leafs and store, random faults: ./build.sh soak [FIRST-LAST] [SECONDS] [--zones|--foreign],
            50 seeds by default
  deploy    run the deploy file's build command in a clean copy without tests, at most five minutes; then check that its
            packages install all files that the build used
  fuzz      libFuzzer on the frame decoder and the catalogue reader, 60 s each
TEXT
}

# Installs only missing packages, so that a second run needs no network.
install_packages() {
    local missing=() name
    for name in "$@"; do
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
    done
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

configure_and_build() {
    local dir=$1
    shift
    cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
    cmake --build "$dir" -- --quiet
}

sources() {
    git ls-files '*.h' '*.cpp' | grep -v '_generated\.h$'
}

lint() {
    install_packages "${lint_packages[@]}"
    configure_and_build build
    sources | xargs clang-format --dry-run --Werror
    # The fuzzers are built separately by clang and have no compile commands here; only the formatter checks them.
    sources | grep '\.cpp$' | grep -v '^fuzz/' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
}

sanitize() {
    local kind
    for kind in address,undefined thread; do
        configure_and_build "build-${kind%%,*}" -DCHIVELOCK_SANITIZE="$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo
        ctest --test-dir "build-${kind%%,*}" --output-on-failure -j 4 -E '^matrix|regression'
    done
}

# The platform's build must work without test sources and write only under target/.
deploy_build() {
    local line copy began
    line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
    copy=$(mktemp -d)
    git archive HEAD | tar -x -C "$copy"
    find "$copy" -type d \( -name tests -o -name fakes -o -name soak \) -prune -exec rm -rf {} +
    rm -rf "$copy/standin" "$copy/bench" "$copy/platform/standin"
    began=$SECONDS
    (cd "$copy" && bash -c "$line" >/dev/null)
    [ -x "$copy/target/programs/chivelockd/chivelockd" ]
    [ $((SECONDS - began)) -le 300 ]
    python3 scripts/check_packages.py "$copy/target" deploy/system.toml
    if python3 scripts/check_packages.py "$copy/target" deploy/system.toml --omit prometheus-cpp-dev >/dev/null; then
        echo "the check of packages does not notice that one is missing" >&2
        return 1
    fi
    echo "deploy file's build: $((SECONDS - began)) s, without tests"
    rm -rf "$copy"
}

case "${1:-}" in
install) install_packages "${packages[@]}" ;;
build)
    install_packages "${packages[@]}"
    configure_and_build build
    ;;
test)
    install_packages "${packages[@]}"
    configure_and_build build
    ctest --test-dir build --output-on-failure -j 4
    ;;
lint) lint ;;
demo)
    install_packages "${packages[@]}"
    configure_and_build build
    exec python3 scripts/demo.py build
    ;;
matrix)
    configure_and_build build
    exec build/fakes/matrix
    ;;
bench)
    configure_and_build build
    mkdir -p out
    exec build/bench/bench "${@:2}"
    ;;
capacity)
    configure_and_build build
    exec python3 scripts/capacity.py build
    ;;
faults)
    configure_and_build build
    exec python3 scripts/faults.py build
    ;;
soak)
    configure_and_build build
    exec python3 soak/soak.py build/programs/chivelockd/chivelockd --seeds "${2:-1-50}" --seconds "${3:-10}" "${@:4}"
    ;;
deploy) deploy_build ;;
sanitize) sanitize ;;
fuzz)
    install_packages "${fuzz_packages[@]}"
    exec scripts/fuzz.sh
    ;;
*)
    usage
    exit 2
    ;;
esac
