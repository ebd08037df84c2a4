#!/bin/sh
# Archives the classes of the delivery network's three programs, so that each start maps them in place of reading and
# verifying them: a machine that comes back is waited for. A network of all three runs for some seconds on loopback, with
# stand-in servers, and is asked for a bit of everything; what it loaded is dumped together with the JDK's own classes into
# one archive. A missing or stale archive only makes the start slower: the build goes on without one, with a line, and each
# step is bounded in time.
set -eu
cd "$(dirname "$0")/.."
lib=target/lib
path=target/anisebend.jar
for jar in snakeyaml-engine-2.9 dsl-json-1.10.0 log4j-api-2.24.3 xodus-environment-2.0.1 xodus-openAPI-2.0.1 xodus-utils-2.0.1 \
    xodus-compress-2.0.1 xodus-crypto-2.0.1 kotlin-stdlib-1.6.10 kotlin-logging-1.7.9 slf4j-api-2.0.17; do
    path=$path:$lib/$jar.jar
done
log=target/system-archive.log
# What a step says when it fails: its name, exit code (124 and 137: not over in time) and last line.
failed() {
    echo "$1 failed with $2: $(tail -n 1 "$log")" >&2
}
rm -f target/system.jsa target/system.classes
# The training ends by itself after 60 s at most, and is ended where even that does not work.
timeout -k 5 90 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m -XX:-UsePerfData -Djava.library.path=target/native \
    -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Dio.netty.machineId=00:00:00:00:00:01 \
    -Dio.netty.processId=1 -Dio.netty.initialSeedUniquifier=1 -Dio.netty.jfr.enabled=false -Dslf4j.internal.verbosity=ERROR -Xlog:disable \
    -Xshare:off -XX:DumpLoadedClassList=target/system.classes -cp "$path" gorsemast.standin.Training target \
    > "$log" 2>&1 || failed training $?
# The archived heap is written by G1 only; a serial collector reads it all the same.
timeout -k 5 90 java -Xshare:dump -XX:+UseG1GC -XX:SharedClassListFile=target/system.classes \
    -XX:SharedArchiveFile=target/system.jsa -cp "$path" >> "$log" 2>&1 || failed dump $?
rm -rf target/training*
[ -f target/system.jsa ] || echo "no class archive was made, see $log" >&2
