#!/usr/bin/env bash
# Makes the class archive of the node, which halves the processor time of its start: runs the node
# beside a second one and the stand-in on loopback, under load, and lets it write what it loaded.
# Without the archive the node starts as well, only later.
set -u
cd "$(dirname "$0")/.."
java_options=$1
dir=target/training
# Several builds may run on one machine, so the ports differ from run to run; a run that finds one
# taken ends at once and leaves no archive.
base=$((20000 + (RANDOM % 400) * 30))
seconds=6
limit_s=60
mkdir -p "$dir"
settings() { # file, node, service, first port of six
  cat > "$1" <<EOF
node=$2
ip=127.0.0.1
zone=z
service=$3
listen.outbound=127.0.0.1:$4
listen.control=127.0.0.1:$(($4 + 1))
app_address=127.0.0.1:$(($4 + 2))
listen.ready=127.0.0.1:$(($4 + 3))
internal_ports=$(($4 + 4)),$(($4 + 5))
platform.address=127.0.0.1:$base
limits.memory_mb=256
bounds=
EOF
}
settings "$dir/one.conf" node-1 one $((base + 5))
settings "$dir/two.conf" node-2 two $((base + 15))
rm -f target/sidecar/node.jsa
timeout "$limit_s" java -Xmx64m -jar target/standin/acaciapond-standin.jar "$base" \
  $((base + 5)) $((base + 6)) $((base + 7)) $((base + 15)) $((base + 16)) $((base + 17)) "$seconds" \
  > "$dir/standin.log" 2>&1 &
standin=$!
ACACIAPOND_BOOT=$dir/two.conf timeout "$limit_s" java $java_options \
  -jar target/sidecar/acaciapond-sidecar.jar > "$dir/two.log" 2>&1 &
two=$!
ACACIAPOND_BOOT=$dir/one.conf timeout "$limit_s" java $java_options -XX:ArchiveClassesAtExit=target/sidecar/node.jsa \
  -jar target/sidecar/acaciapond-sidecar.jar > "$dir/one.log" 2>&1 &
one=$!
wait "$standin"
kill -TERM "$one" "$two"
wait "$one" "$two"
tail -n 1 "$dir/standin.log"
[ -f target/sidecar/node.jsa ] || echo "no class archive was made; see $dir" >&2
exit 0
