package anisebend;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Runs a balancer with a virtual clock: fires its timers when due and answers its sends as the test specifies. */
final class BalancerHarness {
    static final int READ = 0;
    static final int CHARGE = 1;
    static final int SAVE = 2;
    static final int SAVE_IN_ZONE = 3;
    static final long MS = 1000;
    static final long COLD_TIME = 10_000 * MS;
    static final long GRACE = 250 * MS;

    final Recorder recorder = new Recorder();
    final Balancer balancer = new BalancingPolicy(recorder);
    final boolean aside;
    private final TreeMap<Long, Integer> timers = new TreeMap<>();
    private int timersSeen;
    long now = 1_000_000;

    BalancerHarness(boolean aside) {
        this(aside, 7);
    }

    BalancerHarness(boolean aside, long seed) {
        this(aside, seed, settings(aside));
    }

    BalancerHarness(boolean aside, long seed, Balancer.Settings settings) {
        this.aside = aside;
        recorder.now = now;
        balancer.start(now, seed, settings);
        collectTimers();
    }

    static Balancer.Settings withResendLimit(
            Balancer.Settings s, double freeResends, double resendShare, long resendSpan) {
        return new Balancer.Settings(
                s.balancers(),
                s.zone(),
                s.originKind(),
                s.classes(),
                s.tenants(),
                s.overShareFactor(),
                s.maxAttempts(),
                s.mayCancel(),
                s.mayProbe(),
                s.retryAfter(),
                s.maxRetryAfter(),
                s.listMustBeAsked(),
                s.listAskWithin(),
                s.coldShare(),
                s.coldTime(),
                freeResends,
                resendShare,
                resendSpan);
    }

    static Balancer.Settings settings(boolean aside) {
        List<Balancer.RequestClass> classes = List.of(
                type(Balancer.Effect.SAFE, Balancer.Group.ALL, 1),
                type(Balancer.Effect.UNSAFE, Balancer.Group.ALL, 10),
                type(Balancer.Effect.KEYED, Balancer.Group.ALL, 2),
                type(Balancer.Effect.KEYED, Balancer.Group.ZONE, 2));
        return new Balancer.Settings(
                2,
                0,
                aside ? 1 : -1,
                classes,
                List.of(new Balancer.Tenant(0.5, 20), new Balancer.Tenant(0.5, 20)),
                0.1,
                4,
                true,
                false,
                true,
                2000 * MS,
                true,
                10_000 * MS,
                0.3,
                COLD_TIME,
                0,
                0,
                0);
    }

    private static Balancer.RequestClass type(Balancer.Effect effect, Balancer.Group group, double importance) {
        return new Balancer.RequestClass(effect, group, 900 * MS, 500 * MS, 2000 * MS, importance);
    }

    static Balancer.Server server(String id, Balancer.State state, long startedAt) {
        return new Balancer.Server(id, id.charAt(0) % 2, id.startsWith("origin") ? 1 : 0, 0, state, 1, startedAt);
    }

    BalancerHarness list(Balancer.ListKind kind, String... ids) {
        List<Balancer.Server> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(server(id, Balancer.State.READY, 0));
        }
        return list(kind, entries);
    }

    BalancerHarness list(Balancer.ListKind kind, List<Balancer.Server> entries) {
        balancer.servers(now, kind, entries);
        collectTimers();
        return this;
    }

    BalancerHarness ask(String id, int type, String key) {
        return ask(id, type, key, 0);
    }

    BalancerHarness ask(String id, int type, String key, int tenant) {
        balancer.request(now, new Balancer.Request(id, type, tenant, key, now + 2000 * MS, type != READ));
        collectTimers();
        return this;
    }

    BalancerHarness answer(String id, Balancer.Code code) {
        return answer(id, code, 50 * MS);
    }

    BalancerHarness answer(String id, Balancer.Code code, long elapsed) {
        return answer(id, code, elapsed, Balancer.CacheStatus.NONE);
    }

    BalancerHarness answer(String id, Balancer.Code code, long elapsed, Balancer.CacheStatus status) {
        long attempts =
                recorder.sent.stream().filter(s -> s.request().equals(id)).count();
        boolean over = code == Balancer.Code.OK;
        balancer.outcome(now, new Balancer.Outcome(id, (int) attempts - 1, code, elapsed, over, status, null));
        collectTimers();
        return this;
    }

    /** Advances the clock and fires the timers that fall due. */
    BalancerHarness pass(long micros) {
        long end = now + micros;
        while (!timers.isEmpty() && timers.firstKey() <= end) {
            now = Math.max(now, timers.firstKey());
            recorder.now = now;
            balancer.timer(now, timers.pollFirstEntry().getKey());
            collectTimers();
        }
        now = end;
        recorder.now = now;
        return this;
    }

    void collectTimers() {
        for (; timersSeen < recorder.timers.size(); timersSeen++) {
            timers.put(recorder.timers.get(timersSeen), 0);
        }
    }

    /** The server of the last send of a request, or null. */
    String serverOf(String id) {
        String found = null;
        for (Recorder.Sent sent : recorder.sent) {
            found = sent.request().equals(id) ? sent.server() : found;
        }
        return found;
    }

    long sends(String id) {
        return recorder.sent.stream().filter(s -> s.request().equals(id)).count();
    }
}
