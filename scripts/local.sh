# Functions of run.sh and demo.sh; this file is sourced, not run. They need only the binaries that `make build` creates.
# Processes are stopped only by the ids that were recorded when they were started.

heatherwall=bin/heatherwall
standin=bin/standin
# wait_until makes one attempt every 0.2 s.
max_wait_attempts=150

declare -A pids=()
base=""

# create_folder PATH: creates an empty folder for logs, settings and data, and sets base to its path.
create_folder() {
  base=$1
  rm -rf "$base"
  mkdir -p "$base"
}

# start_process NAME LOG COMMAND...: starts the command in the background and records its process id under the name.
# Each process gets a process group of its own, so that Ctrl-C reaches only the script, which stops them in order.
start_process() {
  local name=$1 log=$2
  shift 2
  set -m
  "$@" >>"$log" 2>&1 &
  pids[$name]=$!
  set +m
}

# stop_process NAME SIGNAL: sends the signal and waits for the exit.
stop_process() {
  local id=${pids[$1]:-}
  if [ -z "$id" ]; then return; fi
  kill "-$2" "$id" 2>/dev/null || true
  wait "$id" 2>/dev/null || true
  unset "pids[$1]"
}

# Backend servers and gateways stop before the control replicas, so that they can finish requests and deregister.
stop_all() {
  trap - EXIT INT TERM
  local name order
  echo "stopping"
  for order in servers gateway control; do
    for name in "${!pids[@]}"; do
      case $name in *"$order"*) kill -TERM "${pids[$name]}" 2>/dev/null || true ;; esac
    done
    for name in "${!pids[@]}"; do
      case $name in *"$order"*) wait "${pids[$name]}" 2>/dev/null || true ;; esac
    done
  done
  pids=()
}

# wait_until CONDITION COMMAND...: repeats the command until it succeeds; CONDITION describes it in the error message.
wait_until() {
  local condition=$1 attempt
  shift
  for ((attempt = 0; attempt < max_wait_attempts; attempt++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "timed out waiting for: $condition; see the logs in $base" >&2
  return 1
}

# responds_ok URL: succeeds if a GET of the URL returns status 200. It uses only the shell, and runs in a subshell
# because a refused connection would terminate the calling shell.
responds_ok() (
  rest=${1#http://}
  host=${rest%%/*}
  exec 9<>"/dev/tcp/${host%%:*}/${host##*:}" || exit 1
  printf 'GET /%s HTTP/1.0\r\nHost: %s\r\n\r\n' "${rest#*/}" "$host" >&9
  read -r -t 2 _ status _ <&9
  [ "$status" = 200 ]
)

# accepts_connections ADDRESS: succeeds if a TCP connection to the address is accepted.
accepts_connections() (
  exec 9<>"/dev/tcp/${1%%:*}/${1##*:}"
)

# require_free_ports FIRST COUNT: fails immediately and names the first port in use, instead of waiting for processes
# that cannot listen.
require_free_ports() {
  local port
  for ((port = $1; port < $1 + $2; port++)); do
    if accepts_connections "127.0.0.1:$port" 2>/dev/null; then
      echo "port $port is in use; a setup started by make run or make demo may still be running or stopping" >&2
      return 1
    fi
  done
}

# print_secret DEPLOYMENT NAME: prints a development token or credential.
print_secret() {
  awk -v name="$2:" '$1 == name { print $2 }' "examples/$1/dev-tokens.yaml"
}

# FIRST-PORT NUMBER: each function prints an address of the control replica or gateway with this number. A control
# replica uses two ports (peer, admin), a gateway four (callers, announce, peer, admin), in this order.
control_peer_address() { echo "127.0.0.1:$(($1 + 2 * $2 - 2))"; }
control_admin_address() { echo "127.0.0.1:$(($1 + 2 * $2 - 1))"; }
gateway_caller_address() { echo "127.0.0.1:$(($1 + 6 + 4 * ($2 - 1)))"; }
gateway_announce_address() { echo "127.0.0.1:$(($1 + 7 + 4 * ($2 - 1)))"; }
gateway_admin_address() { echo "127.0.0.1:$(($1 + 9 + 4 * ($2 - 1)))"; }

# Ports of three control replicas and two gateways.
ports_per_system=14

# start_system DEPLOYMENT FIRST-PORT CONTROL-PLACES GATEWAY-PLACES: starts the control replicas and gateways. A place is
# REGION/FAILURE-DOMAIN; places are separated by commas.
start_system() {
  local name=$1 port=$2 folder=$base/$1 i
  require_free_ports "$port" "$ports_per_system"
  "$standin" settings -folder "$folder" -first-port "$port" -controls 3 -gateways 2 \
    -control-places "$3" -gateway-places "$4" >"$folder.json"
  # Replica 1, which creates the group, contacts the others first, so they have to listen already.
  for i in 3 2 1; do
    set --
    if [ "$i" = 1 ]; then set -- -bootstrap; fi
    start_process "$name-control-$i" "$folder/control-$i.log" "$heatherwall" control -settings "$folder/control-$i.yaml" "$@"
    wait_until "$name control replica $i" accepts_connections "$(control_peer_address "$port" "$i")"
  done
  for i in 1 2; do
    start_process "$name-gateway-$i" "$folder/gateway-$i.log" "$heatherwall" gateway -settings "$folder/gateway-$i.yaml"
  done
  for i in 1 2 3; do
    wait_until "$name control replica $i" responds_ok "http://$(control_admin_address "$port" "$i")/readyz"
  done
}

# apply_document DEPLOYMENT KEY...: applies the example document, signed with the development keys.
apply_document() {
  local name=$1 keys=() key
  shift
  for key in "$@"; do keys+=(-key "examples/$name/dev-key-$key.yaml"); done
  "$heatherwall" apply -client "$base/$name/client.yaml" "${keys[@]}" "examples/$name/document.yaml"
}

wait_for_gateways() {
  local name=$1 port=$2 i
  for i in 1 2; do
    wait_until "$name gateway $i" responds_ok "http://$(gateway_admin_address "$port" "$i")/readyz"
  done
}

server_ports=()

# start_servers DEPLOYMENT SYSTEM-PORT SERVICE REGION DOMAIN PORT COUNT FLAGS...: starts one process with COUNT backend
# servers on consecutive ports. SYSTEM-PORT is the FIRST-PORT of start_system.
start_servers() {
  local name=$1 system=$2 service=$3 region=$4 domain=$5 port=$6 count=$7 i
  shift 7
  require_free_ports "$port" "$count"
  for ((i = 0; i < count; i++)); do server_ports+=($((port + i))); done
  start_process "$name-servers-$service-$domain" "$base/$name/servers-$service-$domain.log" "$standin" serve \
    -service "$service" -region "$region" -failure-domain "$domain" -address "127.0.0.1:$port" -count "$count" \
    -announce "$(gateway_announce_address "$system" 1),$(gateway_announce_address "$system" 2)" \
    -credential "$(print_secret "$name" "$service")" -journal "$base/$name/servers-$service-$domain.journal" "$@"
}

wait_for_servers() {
  local port
  for port in "${server_ports[@]}"; do
    wait_until "server on port $port registered" responds_ok "http://127.0.0.1:$port/.standin/registered"
  done
}

kerdrean_port=10100
wendover_port=10200

# All control replicas of this deployment are in the region of its claim group, so that the group tolerates the loss of
# one of them.
start_kerdrean() {
  echo "starting Maison Kerdréan Étiquetage"
  start_system kerdrean $kerdrean_port \
    finistere/finistere-a,finistere/finistere-b,finistere/finistere-a finistere/finistere-a,ille/ille-a
  apply_document kerdrean kerdrean kerdrean-platform kerdrean-labels tregor
  wait_for_gateways kerdrean $kerdrean_port
  start_servers kerdrean $kerdrean_port recipe-store finistere finistere-a 10400 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port recipe-store finistere finistere-b 10410 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port recipe-store ille ille-a 10420 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port label-issuer finistere finistere-a 10430 3 -service-time 8ms -cold 2s -cold-requests 24
  start_servers kerdrean $kerdrean_port label-issuer finistere finistere-b 10440 3 -service-time 8ms -cold 2s -cold-requests 24
  start_servers kerdrean $kerdrean_port audit-archive finistere finistere-b 10450 3 -service-time 6ms
  start_servers kerdrean $kerdrean_port audit-archive ille ille-a 10460 3 -service-time 6ms
  start_servers kerdrean $kerdrean_port recipe-intake finistere finistere-a 10470 3 -service-time 6ms
  wait_for_servers
}

start_wendover() {
  echo "starting Wendover Ceramics Heritage Division"
  start_system wendover $wendover_port erie/erie-a,erie/erie-b,ontario/ontario-a erie/erie-a,ontario/ontario-a
  apply_document wendover wendover wendover-platform wendover-kilns saltmarsh
  wait_for_gateways wendover $wendover_port
  start_servers wendover $wendover_port catalogue erie erie-a 10500 3 -slots 2 -connections 260
  start_servers wendover $wendover_port catalogue ontario ontario-a 10510 3 -slots 2 -connections 260
  start_servers wendover $wendover_port kilnbook erie erie-a 10520 3 -slots 2 -connections 260 -cold 2s -cold-requests 8
  start_servers wendover $wendover_port kilnbook erie erie-b 10530 3 -slots 2 -connections 260 -cold 2s -cold-requests 8
  start_servers wendover $wendover_port drawing-vault ontario ontario-a 10540 3 -slots 2 -connections 260
  start_servers wendover $wendover_port drawing-vault ontario ontario-b 10550 3 -slots 2 -connections 260
  start_servers wendover $wendover_port ledger erie erie-a 10560 3 -slots 2 -connections 260
  start_servers wendover $wendover_port ledger erie erie-b 10570 3 -slots 2 -connections 260
  wait_for_servers
}

print_next_commands() {
  local name port
  for name in kerdrean wendover; do
    port=$kerdrean_port
    if [ "$name" = wendover ]; then port=$wendover_port; fi
    echo "$name"
    echo "  callers   http://$(gateway_caller_address "$port" 1) and http://$(gateway_caller_address "$port" 2)"
    echo "  metrics   http://$(gateway_admin_address "$port" 1)/metrics (gateway), http://$(control_admin_address "$port" 1)/metrics (control)"
    echo "  status    $heatherwall status -client $base/$name/client.yaml"
    echo "  history   $heatherwall history -client $base/$name/client.yaml"
  done
  cat <<TEXT

Try:
  curl -i -H "Authorization: Bearer $(print_secret kerdrean kerdrean/rennes/line-1)" http://$(gateway_caller_address $kerdrean_port 1)/recipes/42
  $standin load -gateways $(gateway_caller_address $kerdrean_port 1)@finistere,$(gateway_caller_address $kerdrean_port 2)@ille -rate 200 -requests 2000 \
    -target "GET /recipes token=$(print_secret kerdrean kerdrean/rennes/line-1) home=finistere+ille"
  $heatherwall domain -client $base/kerdrean/client.yaml -key examples/kerdrean/dev-key-kerdrean-platform.yaml -wait out finistere-b
  $heatherwall domain -client $base/kerdrean/client.yaml -key examples/kerdrean/dev-key-kerdrean-platform.yaml -wait in finistere-b
TEXT
}
