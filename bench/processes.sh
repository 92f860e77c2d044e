# Functions for the benches that start processes. To be sourced; sets `bin` and `work`, and ends by
# id everything that `start` started when the bench ends.
bin=$(realpath "${1:-$(dirname "$0")/../build}")
work=$(mktemp -d)
declare -A pid_of

start() { # NAME COMMAND...: runs in the background, output to NAME.log
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
}
stop() { # SIGNAL NAME...
  local signal=$1 name; shift
  for name in "$@"; do
    kill -"$signal" "${pid_of[$name]}" 2>/dev/null || true
    wait "${pid_of[$name]}" 2>/dev/null || true
    unset "pid_of[$name]"
  done
}
stop_all() { stop TERM "${!pid_of[@]}"; }
trap 'stop_all; rm -rf "$work"' EXIT

port_of() { # NAME FIELD: the port that a process reports once it listens
  for _ in $(seq 200); do
    if grep -q '"event":"listening"' "$work/$1.log" 2>/dev/null; then
      sed -nE "s/.*\"event\":\"listening\".*\"$2\":([0-9]+).*/\1/p" "$work/$1.log" | head -1
      return
    fi
    sleep 0.05
  done
  echo "$(basename "$0"): $1 does not listen" >&2
  exit 1
}
hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

write_bundle() { # TIMEOUT_S FRESH_LIMIT WARM_UP_S: teams large and small, route planner-lm
  cat >"$work/bundle.toml" <<TOML
version = 1
deployment = "bench"
domains = ["a", "b", "c"]
[[teams]]
name = "large"
key_hashes = ["$(hash_of large)"]
[[teams]]
name = "small"
key_hashes = ["$(hash_of small)"]
[[routes]]
name = "planner-lm"
kind = "model"
fresh_limit = $2
max_limit = 8
warm_up_s = $3
timeout_s = $1
TOML
}
start_agent() { # NAME DOMAIN WIRE_PORT [UPSTREAM_URL]
  printf 'host = "%s"\ndomain = "%s"\nlisten_wire = "127.0.0.1:%s"\nlisten_admin = "127.0.0.1:0"\nbundle_file = "%s"\n[[upstreams]]\nname = "u-%s"\nroute = "planner-lm"\nurl = "%s"\n' \
    "$1" "$2" "$3" "$work/bundle.toml" "$1" "${4:-http://127.0.0.1:1}" >"$work/$1.toml"
  start "$1" "$bin/gooseberrywood" agent --settings "$work/$1.toml"
}
start_entry() { # NAME AGENT...
  local name=$1 agent; shift
  printf 'host = "%s"\ndomain = "a"\nlisten_http = "127.0.0.1:0"\nlisten_admin = "127.0.0.1:0"\nbundle_file = "%s"\n' \
    "$name" "$work/bundle.toml" >"$work/$name.toml"
  for agent in "$@"; do
    printf '[[agents]]\nhost = "%s"\naddress = "127.0.0.1:%s"\n' "$agent" "$(port_of "$agent" wire_port)" >>"$work/$name.toml"
  done
  start "$name" "$bin/gooseberrywood" entry --settings "$work/$name.toml"
}
load() { "$bin/bench_load" --targets "$targets" --max_tokens 50 --stream=false "$@"; }
figures() { # FILE...: the figures of `load` in a line each
  grep -hE '"ok_per_s|latency_p|"status_|"connection"' "$@" | sed -E 's/^ +/  /; s/,$//'
}
