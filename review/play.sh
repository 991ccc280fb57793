# Sourced by the scripts of the cases: plays one case in a temporary folder, and ends the
# gateways if the case was broken off.
play() {
    cd "$2/../.." || exit 2
    if [ ! -x target/review/standin ] || [ ! -x target/release/gentiantally-gateway ]; then
        echo "build first: the deploy file's build, then review/build.sh"
        exit 2
    fi
    scratch=$(mktemp -d) || exit 2
    trap 'end_play' EXIT
    trap 'exit 2' INT TERM HUP
    target/review/standin "$1" "$2" "$scratch" &
    standin=$!
    wait "$standin"
    code=$?
    standin=
    case $code in
        0 | 1) exit "$code" ;;
        *) exit 2 ;;
    esac
}

end_play() {
    if [ -n "$standin" ]; then
        kill "$standin" 2>/dev/null
    fi
    if [ -f "$scratch/running" ]; then
        while read -r id; do
            kill -KILL "$id" 2>/dev/null
        done <"$scratch/running"
    fi
    rm -rf "$scratch"
}
