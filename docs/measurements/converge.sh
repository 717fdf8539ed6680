#!/usr/bin/env bash
# Runs the rows of converge.md and recovery.md and writes one JSON object for each to OUT/NAME.json.
# Usage: converge.sh OUT [NAME...]; without names all rows run, one after another. ROWS_AT_ONCE sets
# how many run at the same time; the recorded runs used 3.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
out=$1
shift
mkdir -p "$out"

row() {
  name=$1
  shift
  JAVA_OPTS=-Xmx2g "$root/bin/acaciapond-bench" converge --json "$@" \
    >"$out/$name.json" 2>"$out/$name.err" || echo "$name: exit code $?" >&2
}
export -f row
export root out

# The configuration has 20 services and the nodes are in 4 domains unless the row says otherwise.
rows() {
  for nodes in 10 20 40 80 160; do
    echo "relay-$nodes-8 --nodes $nodes --changes 4 --edit-interval-ms 8000"
    echo "relay-$nodes-2 --nodes $nodes --changes 12 --edit-interval-ms 2000"
    echo "poll-$nodes-2 --nodes $nodes --changes 12 --edit-interval-ms 2000 --distribution poll"
  done
  for nodes in 20 80 160; do
    echo "relay-$nodes-6d520-8 --nodes $nodes --domains 6 --services 520 --changes 4" \
      "--edit-interval-ms 8000"
  done
  echo "relay-80-6d-8 --nodes 80 --domains 6 --changes 4 --edit-interval-ms 8000"
  echo "relay-80-520-8 --nodes 80 --services 520 --changes 4 --edit-interval-ms 8000"
  for nodes in 80 160; do
    echo "restart-$nodes --nodes $nodes --scenario mass-restart"
    echo "outage-$nodes --nodes $nodes --scenario platform-outage"
  done
}

selected() {
  if [ $# -eq 0 ]; then
    rows
  else
    for name in "$@"; do
      rows | grep "^$name " || echo "no such row: $name" >&2
    done
  fi
}

selected "$@" | xargs -P "${ROWS_AT_ONCE:-1}" -L 1 bash -c 'row "$@"' row
