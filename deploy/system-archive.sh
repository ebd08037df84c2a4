#!/bin/sh
# Archives the classes of the delivery network's three programs, so that each start maps them in place of reading and
# verifying them: a machine that comes back is waited for. A network of all three runs for some seconds on loopback, with
# stand-in servers, and is asked for a bit of everything; what it loaded is dumped together with the JDK's own classes into
# one archive. A missing or stale archive only makes the start slower.
set -eu
cd "$(dirname "$0")/.."
lib=target/lib
path=target/anisebend.jar
for jar in snakeyaml-engine-2.9 dsl-json-1.10.0 log4j-api-2.24.3 xodus-environment-2.0.1 xodus-openAPI-2.0.1 xodus-utils-2.0.1 \
    xodus-compress-2.0.1 xodus-crypto-2.0.1 kotlin-stdlib-1.6.10 kotlin-logging-1.7.9 slf4j-api-2.0.17; do
    path=$path:$lib/$jar.jar
done
rm -f target/system.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m -XX:-UsePerfData -Djava.library.path=target/native \
    -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Dio.netty.machineId=00:00:00:00:00:01 \
    -Dio.netty.processId=1 -Dio.netty.initialSeedUniquifier=1 -Dio.netty.jfr.enabled=false -Dslf4j.internal.verbosity=ERROR -Xlog:disable \
    -Xshare:off -XX:DumpLoadedClassList=target/system.classes -cp "$path" gorsemast.standin.Training target \
    > target/system-archive.log 2>&1 || true
# The archived heap is written by G1 only; a serial collector reads it all the same.
java -Xshare:dump -XX:+UseG1GC -XX:SharedClassListFile=target/system.classes -XX:SharedArchiveFile=target/system.jsa \
    -cp "$path" >> target/system-archive.log 2>&1 || true
rm -rf target/training*
[ -f target/system.jsa ] || echo "no class archive was made; see target/system-archive.log" >&2
