#!/bin/sh
# Archives the classes that a proxy loads, so that each start maps them in place of reading and verifying
# them: the clients of a restarted proxy wait for it. A missing or stale archive only makes the start slower.
# The proxy runs for some seconds with itself as discovery, which loads both sides' classes, and is drained.
set -eu
cd "$(dirname "$0")/.."
# A loopback address of this process's own, as several builds may run at once: its id has 22 bits at most. The ports are
# below those that the system gives.
host=127.$((64 + $$ / 65536 % 64)).$(($$ / 256 % 256)).$(($$ % 256))
address=$host:20077
cat > target/archive.json <<JSON
{"name":"archive","listen":"$address","admin":"$host:20078","discovery":"$address","seed":"1","limits":{"sockets":64},
 "known":{"seq":0,"whole":true,"hosts":[]},
 "settings":{"fleet_size":1,"discovery":"ask","allowed":{"conn_idle_ms":1000,"connect_timeout_ms":250,"send_cap":1},
  "lanes":[{"name":"read","repeat":"read_like","aim_ms":100,"hard_limit_ms":1000}],
  "rules":{"ask_within_ms":5000,"cold_from":1}}}
JSON
rm -f target/anisebend.jsa
PROXY_CONFIG=target/archive.json timeout -k 5 60 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m -XX:-UsePerfData \
    -Djava.library.path=target/native -Xlog:disable -XX:ArchiveClassesAtExit=target/anisebend.jsa -jar target/anisebend.jar serve \
    > target/archive.log 2>&1 &
sleep 4
kill -TERM $! || true
wait $! || true
[ -f target/anisebend.jsa ] || echo "no class archive was made; see target/archive.log" >&2
