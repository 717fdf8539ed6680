#!/usr/bin/env bash
# Creates the class data sharing (CDS) archive of the node, which halves the CPU time of its start.
# Runs the node with a second node and the platform stand-in on loopback under load; the JVM writes
# the loaded classes to the archive at exit. Without the archive the node starts more slowly.
set -u
cd "$(dirname "$0")/.."
java_options=$1
dir=target/training
# The ports differ from run to run because several builds may run on one machine. If a port is in
# use, the run ends immediately and creates no archive.
base_port=$((20000 + (RANDOM % 400) * 30))
load_s=6
timeout_s=60
mkdir -p "$dir"
# write_settings FILE NODE SERVICE PORT: writes the settings of a node with six ports from PORT.
write_settings() {
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
platform.address=127.0.0.1:$base_port
limits.memory_mb=256
bounds=
EOF
}
write_settings "$dir/one.conf" node-1 one $((base_port + 5))
write_settings "$dir/two.conf" node-2 two $((base_port + 15))
rm -f target/sidecar/node.jsa
timeout "$timeout_s" java -Xmx64m -jar target/standin/acaciapond-standin.jar "$base_port" \
  $((base_port + 5)) $((base_port + 6)) $((base_port + 7)) \
  $((base_port + 15)) $((base_port + 16)) $((base_port + 17)) "$load_s" \
  > "$dir/standin.log" 2>&1 &
standin=$!
ACACIAPOND_BOOT=$dir/two.conf timeout "$timeout_s" java $java_options \
  -jar target/sidecar/acaciapond-sidecar.jar > "$dir/two.log" 2>&1 &
two=$!
ACACIAPOND_BOOT=$dir/one.conf timeout "$timeout_s" java $java_options -XX:ArchiveClassesAtExit=target/sidecar/node.jsa \
  -jar target/sidecar/acaciapond-sidecar.jar > "$dir/one.log" 2>&1 &
one=$!
wait "$standin"
kill -TERM "$one" "$two"
wait "$one" "$two"
tail -n 1 "$dir/standin.log"
[ -f target/sidecar/node.jsa ] || echo "no class archive was created; see the logs in $dir" >&2
exit 0
