package gorsemast.emulator;

import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.Balancer.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models the service that lists cache nodes: it serves calls one after another, holds watches until the list changes, and
 * can be down or slow. A call whose caller has gone still takes its turn, as such a service does not notice that.
 */
final class DiscoveryService {
    /** Receives the response to a call. */
    interface ResponseHandler {
        void answered(ListKind kind, List<Server> entries, long version);

        void failed();
    }

    private static final class Call {
        final boolean whole;
        final long after;
        final ResponseHandler handler;
        boolean finished;

        Call(boolean whole, long after, ResponseHandler handler) {
            this.whole = whole;
            this.after = after;
            this.handler = handler;
        }
    }

    private static final long TIMEOUT_MICROS = 3_000_000;

    private final VirtualTime time;
    private final ClusterSettings settings;
    private final Map<String, Server> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Call> watches = new ArrayList<>();
    private long version;
    private boolean busy;
    private boolean down;
    private double slowdown = 1;
    long calls;
    long failedCalls;
    int longestQueue;

    DiscoveryService(VirtualTime time, ClusterSettings settings) {
        this.time = time;
        this.settings = settings;
    }

    /** Changes the list: a node was added, drains or has gone. */
    void change(Server entry) {
        version++;
        entries.put(entry.id(), entry);
        changedAt.put(entry.id(), version);
        List<Call> released = new ArrayList<>(watches);
        watches.clear();
        released.forEach(this::enqueue);
    }

    List<Server> fullList() {
        return entries.values().stream()
                .filter(entry -> entry.state() != State.GONE)
                .toList();
    }

    long version() {
        return version;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** While down, watches end and calls fail. */
    void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Call> ended = new ArrayList<>(watches);
            ended.addAll(queue);
            watches.clear();
            queue.clear();
            ended.forEach(this::fail);
        }
    }

    /** Makes a call; the returned action abandons it. */
    Runnable call(boolean whole, long after, long waitMicros, ResponseHandler handler) {
        calls++;
        Call call = new Call(whole, after, handler);
        if (down) {
            time.after(settings.sameZoneMicros(), () -> fail(call));
        } else if (whole || version > after) {
            enqueue(call);
        } else {
            watches.add(call);
            time.after(waitMicros, () -> {
                if (watches.remove(call)) {
                    enqueue(call);
                }
            });
        }
        return () -> {
            call.finished = true;
            watches.remove(call);
        };
    }

    private void fail(Call call) {
        if (!call.finished) {
            call.finished = true;
            failedCalls++;
            call.handler.failed();
        }
    }

    private void enqueue(Call call) {
        queue.add(call);
        longestQueue = Math.max(longestQueue, queue.size());
        time.after(TIMEOUT_MICROS, () -> fail(call));
        serveNext();
    }

    private void serveNext() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        Call call = queue.poll();
        double cost = (call.whole ? settings.fullListCost() : 1) * slowdown;
        time.after((long) (cost * 1e6 / settings.discoveryCallsPerSecond()), () -> {
            busy = false;
            if (!call.finished && !down) {
                call.finished = true;
                List<Server> reported = call.whole
                        ? fullList()
                        : entries.values().stream()
                                .filter(entry -> changedAt.get(entry.id()) > call.after)
                                .toList();
                call.handler.answered(call.whole ? ListKind.FULL : ListKind.CHANGES, reported, version);
            }
            serveNext();
        });
    }
}
