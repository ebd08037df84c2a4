package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.State;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Generates random legal events and checks every action of the balancer. */
final class RandomEvents {
    private static final class PendingRequest {
        int type;
        long giveUp;
        int attempts;
        String out;
        long sentAt;
        long ranSince = -1;
        char ranZone;
        boolean ended;
        boolean missed;
    }

    final BalancerHarness harness;
    private final SplittableRandom random;
    private final boolean aside;
    private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
    private final Map<String, Long> stoppedSince = new LinkedHashMap<>();
    private final Map<String, State> states = new LinkedHashMap<>();
    private int linesSeen;
    private long at;

    private final List<Long> taken = new ArrayList<>();
    private final List<Long> resent = new ArrayList<>();
    private final double share;
    private final long span;
    double free;
    int resentInAll;

    RandomEvents(long seed, boolean aside) {
        this(seed, aside, 0, 0, 0);
    }

    RandomEvents(long seed, boolean aside, double free, double share, long span) {
        this.random = new SplittableRandom(seed);
        this.aside = aside;
        this.free = free;
        this.share = share;
        this.span = span;
        this.harness = new BalancerHarness(
                aside, seed, BalancerHarness.withResendLimit(BalancerHarness.settings(aside), free, share, span));
        for (String id : List.of("a0", "a1", "b2", "b3", "c4")) {
            states.put(id, State.READY);
        }
        if (aside) {
            states.put("origin", State.READY);
        }
        harness.list(ListKind.CACHED, states.keySet().toArray(String[]::new));
        verify();
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step(i);
            verify();
        }
        for (int i = 0; i < 50; i++) {
            harness.pass(100 * BalancerHarness.MS);
            verify();
        }
        requests.forEach((id, request) -> assertTrue(request.ended || request.out != null, "never answered: " + id));
    }

    private void step(int i) {
        int draw = random.nextInt(100);
        if (draw < 45) {
            String id = "r" + i;
            PendingRequest request = new PendingRequest();
            request.type = random.nextInt(4);
            request.giveUp = harness.now + 2000 * BalancerHarness.MS;
            requests.put(id, request);
            taken.add(harness.now);
            harness.ask(id, request.type, "k" + random.nextInt(30), random.nextInt(2));
        } else if (draw < 80) {
            List<String> out = new ArrayList<>();
            requests.forEach((id, request) -> {
                if (request.out != null) {
                    out.add(id);
                }
            });
            if (!out.isEmpty()) {
                answer(out.get(random.nextInt(out.size())));
            }
        } else if (draw < 97) {
            harness.pass(random.nextInt(60) * BalancerHarness.MS);
        } else {
            List<String> ids = new ArrayList<>(states.keySet());
            String id = ids.get(random.nextInt(ids.size()));
            State state = State.values()[random.nextInt(3)];
            states.put(id, state);
            if (state == State.READY) {
                stoppedSince.remove(id);
            } else {
                stoppedSince.putIfAbsent(id, harness.now);
            }
            harness.list(ListKind.CHANGES, List.of(BalancerHarness.server(id, state, harness.now)));
        }
    }

    private void answer(String id) {
        PendingRequest request = requests.get(id);
        Code[] codes = Code.values();
        Code code = random.nextInt(2) == 0 ? Code.OK : codes[random.nextInt(codes.length)];
        if (code == Code.MISS && (!aside || request.out.equals("origin"))) {
            code = Code.ERROR;
        }
        if (code.mayHaveRun && request.ranSince < 0) {
            request.ranSince = request.sentAt;
            request.ranZone = request.out.charAt(0);
        }
        request.out = null;
        request.missed = code == Code.MISS;
        boolean over = request.ended || code == Code.OK;
        request.ended = over;
        harness.balancer.outcome(
                harness.now,
                new Balancer.Outcome(
                        id,
                        request.attempts - 1,
                        code,
                        harness.now - request.sentAt,
                        over,
                        Balancer.CacheStatus.NONE,
                        null));
        harness.collectTimers();
    }

    private void verify() {
        List<String> lines = harness.recorder.lines;
        for (; linesSeen < lines.size(); linesSeen++) {
            at = harness.recorder.times.get(linesSeen);
            String[] words = lines.get(linesSeen).split(" ");
            PendingRequest request = words.length > 1 ? requests.get(words[1]) : null;
            switch (words[0]) {
                case "send" -> verifySend(words[1], request, words[2]);
                case "refuse" -> {
                    verifyEnd(words[1], request);
                    boolean mayRun = request.ranSince >= 0 || request.out != null;
                    assertFalse(
                            mayRun
                                    && (request.type == BalancerHarness.CHARGE
                                            || request.type == BalancerHarness.SAVE_IN_ZONE),
                            "refused although it may have run: " + words[1]);
                }
                case "fail" -> verifyEnd(words[1], request);
                default -> {}
            }
        }
    }

    private void verifyEnd(String id, PendingRequest request) {
        assertFalse(request.ended, "answered twice: " + id);
        assertTrue(at <= request.giveUp, "late: " + id);
        request.ended = true;
    }

    private void verifySend(String id, PendingRequest request, String server) {
        assertFalse(request.ended, "sent after its end: " + id);
        assertEquals(null, request.out, "two attempts at once: " + id);
        assertTrue(request.attempts < 4, "too many attempts: " + id);
        Long stopped = stoppedSince.get(server);
        assertTrue(stopped == null || at - stopped <= BalancerHarness.GRACE, "sent to a stopped server: " + server);
        if (request.ranSince >= 0 && request.type != BalancerHarness.READ) {
            assertTrue(request.type != BalancerHarness.CHARGE, "unsafe sent twice: " + id);
            assertTrue(at - request.ranSince <= 900 * BalancerHarness.MS, "outside the window: " + id);
            assertTrue(
                    request.type != BalancerHarness.SAVE_IN_ZONE || server.charAt(0) % 2 == request.ranZone % 2,
                    "outside the group: " + id);
        }
        if (request.attempts > 0 && !request.missed && span > 0) {
            resent.add(at);
            resentInAll++;
            long tries = resent.stream().filter(t -> t >= at - span).count();
            long recent = taken.stream().filter(t -> t > at - span).count();
            assertTrue(tries <= free + share * recent, "over the resend limit: " + tries + " for " + recent);
        }
        request.attempts++;
        request.out = server;
        request.sentAt = at;
    }
}
