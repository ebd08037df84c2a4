package anisebend.net;

import anisebend.Balancer;
import anisebend.Balancer.Code;
import anisebend.Balancer.ServerView;
import anisebend.Balancer.UnservedReason;
import gorsemast.http.Traffic;
import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Periodic diagnostics for troubleshooting: the module's state for each node next to the traffic on its sockets, what
 * was refused and why, and how late the event loop was. Off unless enabled at the start, and never in a request's path.
 * Counts are those since the previous line; states are the present ones.
 */
final class Trace {
    private final Engine engine;
    private final Consumer<String> output;
    private final long[] unservedBefore = new long[UnservedReason.values().length];
    private final Map<String, long[]> trafficBefore = new HashMap<>();
    private final long startMicros;
    private long[] counts = new long[5];

    Trace(Engine engine, Consumer<String> out) {
        this.engine = engine;
        this.output = out;
        this.startMicros = engine.now();
    }

    /** Writes one line; {@code worstMicros} is the event loop's greatest lateness, {@code clients} the connections. */
    void line(long worstMicros, String clients) {
        long now = engine.now();
        Balancer.View view = engine.view();
        StringBuilder text = new StringBuilder("trace t=")
                .append((now - startMicros) / 1000)
                .append(" late=")
                .append(worstMicros / 1000)
                .append(" clients=")
                .append(clients)
                .append("\n  open=")
                .append(view.open())
                .append(" homeless=")
                .append(view.unassigned())
                .append(" retries=")
                .append(Math.round(view.retriesLeft() * 10) / 10.0)
                .append(" cpu=")
                .append(cpuMillis());
        long[] present = engine.counts();
        String[] names = {"taken", "served", "refused", "failed", "gone"};
        for (int i = 0; i < present.length; i++) {
            text.append(' ').append(names[i]).append('=').append(present[i] - counts[i]);
        }
        counts = present;
        for (UnservedReason reason : UnservedReason.values()) {
            text.append(' ')
                    .append(reason)
                    .append('=')
                    .append(view.unservedByReason()[reason.ordinal()] - unservedBefore[reason.ordinal()]);
            unservedBefore[reason.ordinal()] = view.unservedByReason()[reason.ordinal()];
        }
        for (ServerView server : view.servers()) {
            Traffic traffic = engine.traffic(server.id());
            long[] last = trafficBefore.computeIfAbsent(server.id(), id -> new long[Code.values().length + 5]);
            text.append("\n  ")
                    .append(server.id())
                    .append(' ')
                    .append(server.state())
                    .append(server.suspect() ? " SUSPECT" : "")
                    .append(" warm=")
                    .append(Math.round(server.warmth() * 100) / 100.0)
                    .append(" lanes=")
                    .append(server.lanes())
                    .append('x')
                    .append(server.meanInterval() / 1000)
                    .append("ms q=")
                    .append(server.queued())
                    .append(" out=")
                    .append(server.inFlight())
                    .append(" left=")
                    .append(server.excludedClasses())
                    .append(" slow=")
                    .append(Math.round(server.slowness() * 100) / 100.0);
            if (traffic == null) {
                continue;
            }
            text.append(" conns=").append(traffic.open).append('+').append(traffic.opening);
            int i = 0;
            text.append(" dialled=")
                    .append(since(last, i++, traffic.connects))
                    .append(" notup=")
                    .append(since(last, i++, traffic.connectsFailed))
                    .append(" noroom=")
                    .append(since(last, i++, traffic.noCapacity));
            long up = since(last, i++, traffic.connectMicros);
            text.append(" upms=").append(up / 1000);
            long ok = since(last, i++, traffic.okMicros);
            for (Code code : Code.values()) {
                long n = since(last, i++, traffic.ended[code.ordinal()]);
                if (n > 0) {
                    text.append(' ').append(code).append('=').append(n);
                    if (code == Code.OK) {
                        text.append('@').append(ok / n / 1000).append("ms");
                    }
                }
            }
        }
        output.accept(text.toString());
    }

    private static long since(long[] last, int at, long value) {
        long change = value - last[at];
        last[at] = value;
        return change;
    }

    private static long cpuMillis() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1_000_000;
    }
}
