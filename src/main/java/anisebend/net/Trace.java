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
 * One line a second for finding the cause of a bad day: what the module believes of each node beside what passed
 * on the sockets, what was refused and why, and how late the loop was. Off unless asked for at the start, and never
 * on a request's way. The figures are those of the second, but for states, which are the present ones.
 */
final class Trace {
    private final Engine engine;
    private final Consumer<String> out;
    private final long[] why = new long[UnservedReason.values().length];
    private final Map<String, long[]> before = new HashMap<>();
    private final long startMicros;
    private long[] counts = new long[5];

    Trace(Engine engine, Consumer<String> out) {
        this.engine = engine;
        this.out = out;
        this.startMicros = engine.now();
    }

    /** Writes one line; {@code worstMicros} is how late the loop was at its worst, {@code clients} the connections. */
    void line(long worstMicros, String clients) {
        long now = engine.now();
        Balancer.View view = engine.view();
        StringBuilder s = new StringBuilder("trace t=")
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
            s.append(' ').append(names[i]).append('=').append(present[i] - counts[i]);
        }
        counts = present;
        for (UnservedReason w : UnservedReason.values()) {
            s.append(' ').append(w).append('=').append(view.unservedByReason()[w.ordinal()] - why[w.ordinal()]);
            why[w.ordinal()] = view.unservedByReason()[w.ordinal()];
        }
        for (ServerView server : view.servers()) {
            Traffic t = engine.traffic(server.id());
            long[] last = before.computeIfAbsent(server.id(), id -> new long[Code.values().length + 5]);
            s.append("\n  ")
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
            if (t == null) {
                continue;
            }
            s.append(" conns=").append(t.open).append('+').append(t.opening);
            int i = 0;
            s.append(" dialled=")
                    .append(since(last, i++, t.connects))
                    .append(" notup=")
                    .append(since(last, i++, t.connectsFailed))
                    .append(" noroom=")
                    .append(since(last, i++, t.noCapacity));
            long up = since(last, i++, t.connectMicros);
            s.append(" upms=").append(up / 1000);
            long ok = since(last, i++, t.okMicros);
            for (Code code : Code.values()) {
                long n = since(last, i++, t.ended[code.ordinal()]);
                if (n > 0) {
                    s.append(' ').append(code).append('=').append(n);
                    if (code == Code.OK) {
                        s.append('@').append(ok / n / 1000).append("ms");
                    }
                }
            }
        }
        out.accept(s.toString());
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
