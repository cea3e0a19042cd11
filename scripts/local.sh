# Functions of run.sh and demo.sh; sourced, not run. They need only what `make build` makes. Every process is ended by
# the id it was started with.

heatherwall=bin/heatherwall
standin=bin/standin
# Milliseconds are not needed here; waits are counted in steps of 0.2 s.
wait_steps=150

declare -A pid_of=()
base=""

prepare_folder() {
  base=$1
  rm -rf "$base"
  mkdir -p "$base"
}

# start NAME LOG COMMAND...
# Each process gets a process group of its own, so that Ctrl-C reaches only the script, which stops them in order.
start() {
  local name=$1 log=$2
  shift 2
  set -m
  "$@" >>"$log" 2>&1 &
  pid_of[$name]=$!
  set +m
}

# end NAME SIGNAL
end() {
  local id=${pid_of[$1]:-}
  if [ -z "$id" ]; then return; fi
  kill "-$2" "$id" 2>/dev/null || true
  wait "$id" 2>/dev/null || true
  unset "pid_of[$1]"
}

# Gateways and backend servers stop before the control replicas, so that they can finish and leave.
stop_all() {
  trap - EXIT INT TERM
  local name order
  echo "stopping"
  for order in servers gateway control; do
    for name in "${!pid_of[@]}"; do
      case $name in *"$order"*) kill -TERM "${pid_of[$name]}" 2>/dev/null || true ;; esac
    done
    for name in "${!pid_of[@]}"; do
      case $name in *"$order"*) wait "${pid_of[$name]}" 2>/dev/null || true ;; esac
    done
  done
  pid_of=()
}

# until_true WHAT COMMAND...
until_true() {
  local what=$1 step
  shift
  for ((step = 0; step < wait_steps; step++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "not reached: $what; see the logs in $base" >&2
  return 1
}

# answers URL: succeeds if the URL answers 200. It needs no tool besides the shell and runs in a shell of its own,
# because a refused connection would end the calling one.
answers() (
  rest=${1#http://}
  host=${rest%%/*}
  exec 9<>"/dev/tcp/${host%%:*}/${host##*:}" || exit 1
  printf 'GET /%s HTTP/1.0\r\nHost: %s\r\n\r\n' "${rest#*/}" "$host" >&9
  read -r -t 2 _ status _ <&9
  [ "$status" = 200 ]
)

# listens ADDRESS
listens() (
  exec 9<>"/dev/tcp/${1%%:*}/${1##*:}"
)

# need_free_ports FIRST COUNT: fails at once and names a port that is taken, instead of waiting for processes that cannot
# listen.
need_free_ports() {
  local port
  for ((port = $1; port < $1 + $2; port++)); do
    if listens "127.0.0.1:$port" 2>/dev/null; then
      echo "port $port is taken; a setup of make run or make demo may still run or stop" >&2
      return 1
    fi
  done
}

# secret DEPLOYMENT NAME prints a development token or credential.
secret() {
  awk -v name="$2:" '$1 == name { print $2 }' "examples/$1/dev-tokens.yaml"
}

# Ports: a control replica takes two (peer, admin), a gateway four (callers, announce, peer, admin), in this order.
control_peer() { echo "127.0.0.1:$(($1 + 2 * $2 - 2))"; }
control_admin() { echo "127.0.0.1:$(($1 + 2 * $2 - 1))"; }
gateway_callers() { echo "127.0.0.1:$(($1 + 6 + 4 * ($2 - 1)))"; }
gateway_announce() { echo "127.0.0.1:$(($1 + 7 + 4 * ($2 - 1)))"; }
gateway_admin() { echo "127.0.0.1:$(($1 + 9 + 4 * ($2 - 1)))"; }

# Ports of three control replicas and two gateways.
ports_of_system=14

# start_system DEPLOYMENT PORT CONTROL-PLACES GATEWAY-PLACES
start_system() {
  local name=$1 port=$2 folder=$base/$1 i
  need_free_ports "$port" "$ports_of_system"
  "$standin" settings -folder "$folder" -first-port "$port" -controls 3 -gateways 2 \
    -control-places "$3" -gateway-places "$4" >"$folder.json"
  # The replica that creates the group asks the others first, so they have to listen.
  for i in 3 2 1; do
    set --
    if [ "$i" = 1 ]; then set -- -bootstrap; fi
    start "$name-control-$i" "$folder/control-$i.log" "$heatherwall" control -settings "$folder/control-$i.yaml" "$@"
    until_true "$name control replica $i" listens "$(control_peer "$port" "$i")"
  done
  for i in 1 2; do
    start "$name-gateway-$i" "$folder/gateway-$i.log" "$heatherwall" gateway -settings "$folder/gateway-$i.yaml"
  done
  for i in 1 2 3; do
    until_true "$name control replica $i" answers "http://$(control_admin "$port" "$i")/readyz"
  done
}

# apply_document DEPLOYMENT KEY...
apply_document() {
  local name=$1 keys=() key
  shift
  for key in "$@"; do keys+=(-key "examples/$name/dev-key-$key.yaml"); done
  "$heatherwall" apply -client "$base/$name/client.yaml" "${keys[@]}" "examples/$name/document.yaml"
}

ready_gateways() {
  local name=$1 port=$2 i
  for i in 1 2; do
    until_true "$name gateway $i" answers "http://$(gateway_admin "$port" "$i")/readyz"
  done
}

server_ports=()

# start_servers DEPLOYMENT SYSTEM-PORT SERVICE REGION DOMAIN PORT COUNT FLAGS...
start_servers() {
  local name=$1 system=$2 service=$3 region=$4 domain=$5 port=$6 count=$7 i
  shift 7
  need_free_ports "$port" "$count"
  for ((i = 0; i < count; i++)); do server_ports+=($((port + i))); done
  start "$name-servers-$service-$domain" "$base/$name/servers-$service-$domain.log" "$standin" serve \
    -service "$service" -region "$region" -failure-domain "$domain" -address "127.0.0.1:$port" -count "$count" \
    -announce "$(gateway_announce "$system" 1),$(gateway_announce "$system" 2)" \
    -credential "$(secret "$name" "$service")" -journal "$base/$name/servers-$service-$domain.journal" "$@"
}

registered_servers() {
  local port
  for port in "${server_ports[@]}"; do
    until_true "server on port $port registered" answers "http://127.0.0.1:$port/.standin/registered"
  done
}

kerdrean_port=10100
wendover_port=10200

# All control replicas of this deployment are in the region that keeps its claims, so that one of them may fail.
start_kerdrean() {
  echo "starting Maison Kerdréan Étiquetage"
  start_system kerdrean $kerdrean_port \
    finistere/finistere-a,finistere/finistere-b,finistere/finistere-a finistere/finistere-a,ille/ille-a
  apply_document kerdrean kerdrean kerdrean-platform kerdrean-labels tregor
  ready_gateways kerdrean $kerdrean_port
  start_servers kerdrean $kerdrean_port recipe-store finistere finistere-a 10400 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port recipe-store finistere finistere-b 10410 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port recipe-store ille ille-a 10420 3 -service-time 4ms
  start_servers kerdrean $kerdrean_port label-issuer finistere finistere-a 10430 3 -service-time 8ms -cold 2s -cold-requests 24
  start_servers kerdrean $kerdrean_port label-issuer finistere finistere-b 10440 3 -service-time 8ms -cold 2s -cold-requests 24
  start_servers kerdrean $kerdrean_port audit-archive finistere finistere-b 10450 3 -service-time 6ms
  start_servers kerdrean $kerdrean_port audit-archive ille ille-a 10460 3 -service-time 6ms
  start_servers kerdrean $kerdrean_port recipe-intake finistere finistere-a 10470 3 -service-time 6ms
  registered_servers
}

start_wendover() {
  echo "starting Wendover Ceramics Heritage Division"
  start_system wendover $wendover_port erie/erie-a,erie/erie-b,ontario/ontario-a erie/erie-a,ontario/ontario-a
  apply_document wendover wendover wendover-platform wendover-kilns saltmarsh
  ready_gateways wendover $wendover_port
  start_servers wendover $wendover_port catalogue erie erie-a 10500 3 -slots 2 -connections 260
  start_servers wendover $wendover_port catalogue ontario ontario-a 10510 3 -slots 2 -connections 260
  start_servers wendover $wendover_port kilnbook erie erie-a 10520 3 -slots 2 -connections 260 -cold 2s -cold-requests 8
  start_servers wendover $wendover_port kilnbook erie erie-b 10530 3 -slots 2 -connections 260 -cold 2s -cold-requests 8
  start_servers wendover $wendover_port drawing-vault ontario ontario-a 10540 3 -slots 2 -connections 260
  start_servers wendover $wendover_port drawing-vault ontario ontario-b 10550 3 -slots 2 -connections 260
  start_servers wendover $wendover_port ledger erie erie-a 10560 3 -slots 2 -connections 260
  start_servers wendover $wendover_port ledger erie erie-b 10570 3 -slots 2 -connections 260
  registered_servers
}

print_next_commands() {
  local name port
  for name in kerdrean wendover; do
    port=$kerdrean_port
    if [ "$name" = wendover ]; then port=$wendover_port; fi
    echo "$name"
    echo "  callers   http://$(gateway_callers "$port" 1) and http://$(gateway_callers "$port" 2)"
    echo "  metrics   http://$(gateway_admin "$port" 1)/metrics (gateway), http://$(control_admin "$port" 1)/metrics (control)"
    echo "  status    $heatherwall status -client $base/$name/client.yaml"
    echo "  history   $heatherwall history -client $base/$name/client.yaml"
  done
  cat <<TEXT

Try:
  curl -i -H "Authorization: Bearer $(secret kerdrean kerdrean/rennes/line-1)" http://$(gateway_callers $kerdrean_port 1)/recipes/42
  $standin load -gateways $(gateway_callers $kerdrean_port 1)@finistere,$(gateway_callers $kerdrean_port 2)@ille -rate 200 -requests 2000 \
    -target "GET /recipes token=$(secret kerdrean kerdrean/rennes/line-1) home=finistere+ille"
  $heatherwall domain -client $base/kerdrean/client.yaml -key examples/kerdrean/dev-key-kerdrean-platform.yaml -wait out finistere-b
  $heatherwall domain -client $base/kerdrean/client.yaml -key examples/kerdrean/dev-key-kerdrean-platform.yaml -wait in finistere-b
TEXT
}
