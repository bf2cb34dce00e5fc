#!/usr/bin/env bash
# Measures the cost of a daemon: sends the same load directly to stand-in
# engines and then through one daemon. The last line has latency, throughput,
# CPU and memory. Usage: tests/load.sh [BIN] [RATE_PER_S] [SECONDS]
# PROFILE=FILE records a perf profile of the daemon in the second part.
set -euo pipefail
bin=$(realpath "${1:-build/bin}")
# Above about 250 requests/s the load tool itself is the bottleneck.
rate=${2:-200}
seconds=${3:-8}
engines=4
adapters=64
dir=$(mktemp -d)
pids=()
stop_processes() { # the last started first; SIGKILL 3 s after SIGTERM
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill "${pids[i]}" 2>/dev/null || continue
        for _ in $(seq 60); do
            kill -0 "${pids[i]}" 2>/dev/null || break
            sleep 0.05
        done
        kill -9 "${pids[i]}" 2>/dev/null || true
    done
    rm -rf "$dir"
}
trap stop_processes EXIT

wait_for() { # command: repeats it until it succeeds, at most 20 s
    for _ in $(seq 400); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "load: command failed for 20 s: $*" >&2
    return 1
}
start_process() { # name, program, arguments: returns when it listens
    local name=$1 program=$2
    shift 2
    "$bin/$program" --listen 127.0.0.1:0 --port-file "$dir/$name.port" \
        --max-seconds 300 "$@" &
    pids+=($!)
    wait_for test -s "$dir/$name.port"
}
port() {
    cat "$dir/$1.port"
}

# -- processes ----------------------------------------------------------------
start_process platform lacewing-standin-platform --loads-per-s 1000 \
    --loads-at-once 100 --load-ms 1
platform=http://127.0.0.1:$(port platform)
targets=
config="[deployment]
name = load
region = local
[zone z1]
[limits]
loads_per_s = 1000
loads_at_once = 100
loads_in_transit = 100
load_ms = 10
entry_instances = 1
[model base]
[team load]
keys = caller:$(printf load-key | sha256sum | cut -c1-64)
[operation draft]
kind = draft
deadline_ms = 20000
max_tokens = 512
[operation lookup]
kind = call
idempotent = true
deadline_ms = 5000
[operation booking]
kind = call
idempotent = false
deadline_ms = 5000"
for i in $(seq $engines); do
    start_process "e$i" lacewing-standin-server --platform "$platform" \
        --name "e$i" --zone z1 --slots 128 --adapter-slots $adapters \
        --tokens-per-s 200 --slowdown-pct 1
    targets+=${targets:+,}http://127.0.0.1:$(port "e$i")
    config+="
[server e$i]
zone = z1
address = 127.0.0.1:$(port "e$i")
slots = 128
adapter_slots = $adapters
tokens_per_s = 200"
done
start_process s1 lacewing-standin-server --kind service --name s1 --zone z1 \
    --platform "$platform" --service-ms 5
service=http://127.0.0.1:$(port s1)
config+="
[server s1]
zone = z1
kind = service
address = 127.0.0.1:$(port s1)"
for i in $(seq 0 $((adapters - 1))); do
    config+="
[adapter adapter-$i]
model = base
team = load
versions = v1"
done
echo "$config" >"$dir/config.ini"

# -- load, directly and through one daemon ------------------------------------
load_options=(--rate "$rate" --seconds "$seconds" --adapters $adapters --seed 1
    --short-tokens 25 --stream-share 0.5 --lookup-share 0.1
    --booking-share 0.1 --check "$service")
"$bin/lacewing-load" --direct --preload --targets "$targets" \
    --services "$service" --key-prefix direct "${load_options[@]}" |
    tee "$dir/direct.out" || true

"$bin/lacewing" init --platform "$platform" --force "$dir/config.ini" >/dev/null
first_port=$((20000 + $$ % 4000 * 3)) # below the ephemeral port range
listen=127.0.0.1:$first_port
link=127.0.0.1:$((first_port + 1))
admin=127.0.0.1:$((first_port + 2))
cat >"$dir/daemon.ini" <<SETTINGS
[daemon]
instance = a
zone = z1
listen = $listen
link = $link
admin = $admin
platform = $platform
[log]
level = warning
SETTINGS
"$bin/lacewingd" --settings "$dir/daemon.ini" 2>"$dir/daemon.log" &
daemon=$!
pids+=($daemon)
wait_for curl -sf "http://$listen/readyz" || { cat "$dir/daemon.log" >&2; exit 1; }
sleep 2
"$bin/lacewing-load" --targets "http://$listen" --secret load-key --rate 100 \
    --seconds 3 --adapters $adapters --key-prefix warm --seed 2 >/dev/null ||
    echo "load: the warm-up load failed" >&2
profiler=
if [ -n "${PROFILE:-}" ]; then
    perf record -q -o "$PROFILE" -g -F 499 -p $daemon &
    profiler=$!
fi
query_cpu_ticks() {
    awk '{print $14 + $15}' "/proc/$daemon/stat"
}
ticks_before=$(query_cpu_ticks)
"$bin/lacewing-load" --targets "http://$listen" --secret load-key \
    --key-prefix through "${load_options[@]}" | tee "$dir/daemon.out" || true
ticks_after=$(query_cpu_ticks)
[ -z "$profiler" ] || kill -INT "$profiler"
rss_mb=$(awk '/^VmHWM/{printf "%.1f", $2 / 1024}' "/proc/$daemon/status")

# -- result -------------------------------------------------------------------
field() { # file, name: value in the summary line of the load tool
    sed -n "s/^summary:.* $2=\([0-9.]*\).*/\1/p" "$dir/$1.out"
}
awk -v direct_p50="$(field direct p50_ms)" \
    -v direct_p99="$(field direct p99_ms)" -v p50="$(field daemon p50_ms)" \
    -v p99="$(field daemon p99_ms)" \
    -v requests="$(field daemon requests_per_s)" \
    -v tokens="$(field daemon tokens_per_s)" \
    -v ticks=$((ticks_after - ticks_before)) -v hertz="$(getconf CLK_TCK)" \
    -v sent="$(field daemon requests)" -v rss="$rss_mb" 'BEGIN {
        seconds = sent / requests
        printf "load: direct_p99_ms=%.2f daemon_p99_ms=%.2f " \
            "added_p50_ms=%.2f requests_per_s=%.1f tokens_per_s=%.1f " \
            "daemon_cpu_pct=%.1f daemon_rss_mb=%.1f\n", direct_p99, p99,
            p50 - direct_p50, requests, tokens,
            100 * ticks / hertz / seconds, rss
    }'
