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
 * The one list of cache nodes: works through calls in turn, holds watches until something changes, and can be down, late
 * or behind. A call whose caller has gone still takes its turn, as such a service does not see that.
 */
final class Register {
    /** Where an answer goes; a version before the caller's is none. */
    interface Caller {
        void answered(ListKind kind, List<Server> entries, long version);

        void failed();
    }

    private static final class Call {
        final boolean whole;
        final long after;
        final Caller caller;
        boolean over;

        Call(boolean whole, long after, Caller caller) {
            this.whole = whole;
            this.after = after;
            this.caller = caller;
        }
    }

    private static final long TIMEOUT_MICROS = 3_000_000;

    private final VirtualTime time;
    private final ClusterSettings settings;
    private final Map<String, Server> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final ArrayDeque<Call> row = new ArrayDeque<>();
    private final List<Call> watches = new ArrayList<>();
    private long version;
    private boolean working;
    private boolean down;
    private double slower = 1;
    long calls;
    long failedCalls;
    int longestRow;

    Register(VirtualTime time, ClusterSettings settings) {
        this.time = time;
        this.settings = settings;
    }

    /** Its list changes: a node came, drains or has gone. */
    void change(Server entry) {
        version++;
        entries.put(entry.id(), entry);
        changedAt.put(entry.id(), version);
        List<Call> woken = new ArrayList<>(watches);
        watches.clear();
        woken.forEach(this::line);
    }

    List<Server> whole() {
        return entries.values().stream()
                .filter(entry -> entry.state() != State.GONE)
                .toList();
    }

    long version() {
        return version;
    }

    void slower(double factor) {
        slower = factor;
    }

    /** Down: watches end and calls fail until it is up again. */
    void down(boolean is) {
        down = is;
        if (is) {
            List<Call> ended = new ArrayList<>(watches);
            ended.addAll(row);
            watches.clear();
            row.clear();
            ended.forEach(this::fail);
        }
    }

    /** A call; returns what gives it up. */
    Runnable call(boolean whole, long after, long waitMicros, Caller caller) {
        calls++;
        Call call = new Call(whole, after, caller);
        if (down) {
            time.after(settings.nearMicros(), () -> fail(call));
        } else if (whole || version > after) {
            line(call);
        } else {
            watches.add(call);
            time.after(waitMicros, () -> {
                if (watches.remove(call)) {
                    line(call);
                }
            });
        }
        return () -> {
            call.over = true;
            watches.remove(call);
        };
    }

    private void fail(Call call) {
        if (!call.over) {
            call.over = true;
            failedCalls++;
            call.caller.failed();
        }
    }

    private void line(Call call) {
        row.add(call);
        longestRow = Math.max(longestRow, row.size());
        time.after(TIMEOUT_MICROS, () -> fail(call));
        work();
    }

    private void work() {
        if (working || row.isEmpty()) {
            return;
        }
        working = true;
        Call call = row.poll();
        double cost = (call.whole ? settings.wholeListCalls() : 1) * slower;
        time.after((long) (cost * 1e6 / settings.registerCalls()), () -> {
            working = false;
            if (!call.over && !down) {
                call.over = true;
                List<Server> told = call.whole
                        ? whole()
                        : entries.values().stream()
                                .filter(entry -> changedAt.get(entry.id()) > call.after)
                                .toList();
                call.caller.answered(call.whole ? ListKind.FULL : ListKind.CHANGES, told, version);
            }
            work();
        });
    }
}
