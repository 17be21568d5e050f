#!/usr/bin/env bash
# Starts, stops or lists the processes of an example deployment.
#
#   examples/run.sh NAME start|stop|status [FOLDER]
#
# NAME is solwatch or huber. FOLDER takes the program, the data folders, one
# log and one pid file a process; data/NAME when left out. Processes are only
# ever ended by their own pid file.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
usage() { sed -n '2,8p' "$0" | cut -c3-; exit 2; }
[ $# -ge 2 ] || usage
name=$1 action=$2 folder=${3:-$root/data/$1}
set_dir=$root/examples/$name
[ -d "$set_dir" ] || usage
stop_seconds=30

control=$(sed -n 's/.*"peers": "\(.*\)",/\1/p' "$set_dir"/control-*.json | paste -sd,)

alive() { [ -f "$1" ] && kill -0 "$(cat "$1")" 2>/dev/null; }

# launch NAME ARGUMENTS... runs one process unless its pid file names a live one.
launch() {
  local part=$1 pid_file=$folder/pid/$1.pid
  shift
  if alive "$pid_file"; then
    echo "$part already runs"
    return
  fi
  (cd "$folder" && exec ./azurelane "$@" >>"log/$part.log" 2>&1) &
  echo $! >"$pid_file"
}

start() {
  mkdir -p "$folder/pid" "$folder/log"
  (cd "$root" && go build -o "$folder/azurelane" ./cmd/azurelane)
  # Founds the group the first time; later it changes nothing.
  launch control-1 control --bootstrap "$set_dir/control-1.json"
  for f in "$set_dir"/control-[2-9].json; do launch "$(basename "$f" .json)" control "$f"; done
  local tries=20
  until "$folder/azurelane" apply "$set_dir/configuration.json" --control "$control" --base 0 --change "example-$name"; do
    tries=$((tries - 1))
    for f in "$set_dir"/control-*.json; do
      f=$(basename "$f" .json)
      alive "$folder/pid/$f.pid" || { echo "$f has ended:" >&2; tail -n 3 "$folder/log/$f.log" >&2; exit 1; }
    done
    [ $tries -gt 0 ] || { echo 'no configuration could be put in force' >&2; exit 1; }
    sleep 1
  done
  for f in "$set_dir"/entry-*.json; do launch "$(basename "$f" .json)" entry "$f"; done
  while read -r -a args; do launch "${args[1]}" standin "${args[@]}"; done <"$set_dir/standins.txt"
  sleep 1
  local ended=0
  for f in "$folder"/pid/*.pid; do
    alive "$f" && continue
    f=$(basename "$f" .pid)
    echo "$f has ended: $(tail -n 1 "$folder/log/$f.log")" >&2
    ended=1
  done
  return $ended
}

# stop ends upstreams first, then entries, then control, so that each part
# can still tell the others that it leaves.
stop() {
  local parts=() f
  while read -r -a args; do parts+=("${args[1]}"); done <"$set_dir/standins.txt"
  end "${parts[@]}"
  for kind in entry control; do
    parts=()
    for f in "$set_dir/$kind"-*.json; do parts+=("$(basename "$f" .json)"); done
    end "${parts[@]}"
  done
}

# end asks the named processes to stop, all at once, and waits for them.
end() {
  local part pid_file i
  for part in "$@"; do
    if alive "$folder/pid/$part.pid"; then kill -TERM "$(cat "$folder/pid/$part.pid")"; fi
  done
  for part in "$@"; do
    pid_file=$folder/pid/$part.pid
    for ((i = 0; i < stop_seconds * 10; i++)); do
      alive "$pid_file" || break
      sleep 0.1
    done
    if alive "$pid_file"; then
      echo "$part still runs as $(cat "$pid_file")" >&2
      return 1
    fi
    rm -f "$pid_file"
  done
}

status() {
  local f
  for f in "$folder"/pid/*.pid; do
    [ -e "$f" ] || break
    if alive "$f"; then echo "$(basename "$f" .pid) runs as $(cat "$f")"; else echo "$(basename "$f" .pid) has ended"; fi
  done
  "$folder/azurelane" status --control "$control"
}

case $action in
  start | stop | status) "$action" ;;
  *) usage ;;
esac
