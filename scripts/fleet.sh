# Functions that start and stop a fleet on loopback. Sourced by scripts/quickstart and scripts/experiment.
#
# The fleet: 3 control instances, FLEET_ENTRIES entries, FLEET_ENGINES emulated engines and FLEET_SERVICES emulated
# targets of the plain service `bookings`, spread over three availability zones. Settings, logs and data are in FLEET_DIR.
# A variable that is set before the call overrides its default.

FLEET_PORT=${FLEET_PORT:-21000}
FLEET_ENTRIES=${FLEET_ENTRIES:-8}
FLEET_ENGINES=${FLEET_ENGINES:-20}
FLEET_SERVICES=${FLEET_SERVICES:-3}
FLEET_ZONES=(zone-a zone-b zone-c)
FLEET_BIN=${FLEET_BIN:-target/release}
FLEET_PLACEMENT=${FLEET_PLACEMENT:-expected_time}
FLEET_ENGINE_EXTRA=${FLEET_ENGINE_EXTRA:-}
FLEET_LOG_LEVEL=${FLEET_LOG_LEVEL:-info}
FLEET_KEY=example-key
FLEET_TOKEN=example-operator-token
FLEET_PIDS=()

fleet_control_port() { echo $((FLEET_PORT + 10 * $1 + $2)); }
fleet_entry_port() { echo $((FLEET_PORT + 100 + 10 * $1 + $2)); }
fleet_engine_port() { echo $((FLEET_PORT + 300 + $1)); }
fleet_service_port() { echo $((FLEET_PORT + 500 + $1)); }

# Prints "127.0.0.1:PORT" for each index, with a separator. Usage: fleet_addresses SEPARATOR COUNT FUNCTION [ARGUMENT]
fleet_addresses() {
  local separator=$1 count=$2 function=$3 argument=${4:-} index list=""
  for ((index = 1; index <= count; index++)); do
    list+="${list:+$separator}127.0.0.1:$($function "$index" $argument)"
  done
  echo "$list"
}

fleet_quoted() { echo "\"${1//,/\",\"}\""; }

fleet_sha256() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Starts a program with its log in FLEET_DIR and notes its process id. Usage: fleet_spawn NAME PROGRAM ARGUMENTS...
fleet_spawn() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS+=($!)
  echo $! >"$FLEET_DIR/$name.pid"
}

fleet_write_control() {
  local index=$1
  cat >"$FLEET_DIR/control-$index.json" <<JSON
{
  "name": "control-$index",
  "peer_address": "127.0.0.1:$(fleet_control_port "$index" 1)",
  "operator_address": "127.0.0.1:$(fleet_control_port "$index" 2)",
  "platform_address": "127.0.0.1:$(fleet_control_port "$index" 3)",
  "peers": [$(fleet_quoted "$(fleet_addresses , 3 fleet_control_port 1)")],
  "bootstrap": true,
  "data_folder": "$FLEET_DIR/control-$index",
  "secret_file": "$FLEET_DIR/secret",
  "operators": [{ "operator": "quickstart", "token_sha256": "$(fleet_sha256 "$FLEET_TOKEN")" }],
  "log_level": "$FLEET_LOG_LEVEL"
}
JSON
}

fleet_write_entry() {
  local index=$1
  cat >"$FLEET_DIR/entry-$index.json" <<JSON
{
  "node": $index,
  "zone": "${FLEET_ZONES[$((index % 3))]}",
  "caller_listen": "127.0.0.1:$(fleet_entry_port "$index" 1)",
  "target_listen": "127.0.0.1:$(fleet_entry_port "$index" 2)",
  "platform_listen": "127.0.0.1:$(fleet_entry_port "$index" 3)",
  "peer_listen": "127.0.0.1:$(fleet_entry_port "$index" 4)",
  "control": [$(fleet_quoted "$(fleet_addresses , 3 fleet_control_port 1)")],
  "secret_file": "$FLEET_DIR/secret",
  "placement": "$FLEET_PLACEMENT",
  "log_level": "$FLEET_LOG_LEVEL"
}
JSON
}

# Announcements go to a different entry first, so that no entry gets all of them.
fleet_announce_to() {
  local first=$1 list="" index
  for ((index = 0; index < FLEET_ENTRIES; index++)); do
    list+="${list:+,}127.0.0.1:$(fleet_entry_port $(((first + index) % FLEET_ENTRIES + 1)) 2)"
  done
  fleet_quoted "$list"
}

fleet_write_engine() {
  local index=$1
  cat >"$FLEET_DIR/engine-$index.json" <<JSON
{
  "listen": "127.0.0.1:$(fleet_engine_port "$index")",
  "target": "engine-$index",
  "zone": "${FLEET_ZONES[$((index % 3))]}",
  "memory_tokens": 450000,$FLEET_ENGINE_EXTRA
  "announce_to": [$(fleet_announce_to "$index")]
}
JSON
}

fleet_write_service() {
  local index=$1
  cat >"$FLEET_DIR/service-$index.json" <<JSON
{
  "listen": "127.0.0.1:$(fleet_service_port "$index")",
  "target": "service-$index",
  "zone": "${FLEET_ZONES[$((index % 3))]}",
  "announce_to": [$(fleet_announce_to "$index")]
}
JSON
}

fleet_write_configuration() {
  local key
  key=$(fleet_sha256 "$FLEET_KEY")
  cat >"$FLEET_DIR/configuration.json" <<JSON
{
  "services": {
    "model-a": {
      "kind": { "model": { "max_answer_tokens": 4096 } },
      "default_deadline_ms": 120000,
      "max_deadline_ms": 600000
    },
    "bookings": {
      "kind": {
        "plain": {
          "operations": [
            { "method": "GET", "path_prefix": "/", "repeatability": "repeatable" },
            { "method": "POST", "path_prefix": "/", "repeatability": "at_most_once" }
          ]
        }
      },
      "default_deadline_ms": 10000,
      "max_deadline_ms": 60000
    }
  },
  "workspaces": {
    "quotes": { "api_key_sha256": ["$key"], "weight": 10, "priority": "normal", "max_in_flight": 512 }
  }
}
JSON
}

fleet_ctl() {
  MULBERRY_OPERATOR_TOKEN=$FLEET_TOKEN "$FLEET_BIN/mulberryctl" \
    --control "$(fleet_addresses , 3 fleet_control_port 2)" "$@"
}

# Retries a command for a minute. Usage: fleet_retry WHAT COMMAND...
fleet_retry() {
  local what=$1 attempt
  shift
  for ((attempt = 0; attempt < 120; attempt++)); do
    if "$@" >"$FLEET_DIR/retry.log" 2>&1; then return 0; fi
    sleep 0.5
  done
  echo "gave up waiting for $what; the last answer was:" >&2
  cat "$FLEET_DIR/retry.log" >&2
  return 1
}

fleet_start() {
  local index
  head -c 24 /dev/urandom | sha256sum | cut -d' ' -f1 >"$FLEET_DIR/secret"
  for index in 1 2 3; do
    fleet_write_control "$index"
    fleet_spawn "control-$index" "$FLEET_BIN/mulberry-control" --settings "$FLEET_DIR/control-$index.json"
  done
  fleet_write_configuration
  fleet_retry "the control group" fleet_ctl apply "$FLEET_DIR/configuration.json" --yes
  for ((index = 1; index <= FLEET_ENTRIES; index++)); do
    fleet_write_entry "$index"
    fleet_spawn "entry-$index" "$FLEET_BIN/mulberry-entry" --settings "$FLEET_DIR/entry-$index.json"
  done
  for ((index = 1; index <= FLEET_ENGINES; index++)); do
    fleet_write_engine "$index"
    fleet_spawn "engine-$index" "$FLEET_BIN/standin-engine" --settings "$FLEET_DIR/engine-$index.json"
  done
  for ((index = 1; index <= FLEET_SERVICES; index++)); do
    fleet_write_service "$index"
    fleet_spawn "service-$index" "$FLEET_BIN/standin-service" --settings "$FLEET_DIR/service-$index.json"
  done
  fleet_retry "the entries to see all targets" fleet_is_ready
}

# Whether every entry sees all targets ready.
fleet_is_ready() {
  local index ready
  for ((index = 1; index <= FLEET_ENTRIES; index++)); do
    ready=$(fleet_metric "$(fleet_entry_port "$index" 3)" mulberry_ready_targets)
    if [ "${ready:-0}" -lt $((FLEET_ENGINES + FLEET_SERVICES)) ]; then
      echo "entry $index sees ${ready:-no} ready targets"
      return 1
    fi
  done
}

# Value of a metric without labels. Usage: fleet_metric PORT NAME
fleet_metric() {
  exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /metrics HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n' >&9
  sed -n "s/^$2 \([0-9]*\).*/\1/p" <&9
  exec 9>&-
}

fleet_entries() { fleet_addresses , "$FLEET_ENTRIES" fleet_entry_port 1; }

# Prints processor time and memory of each role, and the most of any process of it.
fleet_usage() {
  local role pid file ticks
  ticks=$(getconf CLK_TCK)
  printf '%-10s %9s %10s %12s %12s\n' role processes 'cpu s' 'max cpu s' 'max rss MB'
  for role in control entry engine service; do
    for file in "$FLEET_DIR/$role"-*.pid; do
      pid=$(cat "$file")
      [ -r "/proc/$pid/stat" ] || continue
      echo "$(awk '{ print $14 + $15 }' "/proc/$pid/stat") $(awk '/VmHWM/ { print $2 }' "/proc/$pid/status")"
    done | awk -v role="$role" -v ticks="$ticks" '
      { cpu += $1; if ($1 > most) most = $1; if ($2 > rss) rss = $2; count++ }
      END { printf "%-10s %9d %10.1f %12.1f %12.1f\n", role, count, cpu / ticks, most / ticks, rss / 1024 }'
  done
}

# Ends only the processes that fleet_start started.
fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  FLEET_PIDS=()
}
