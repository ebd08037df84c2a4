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

/** Plays random legal events and checks the rules on every action. */
final class RandomEvents {
    private static final class Ask {
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

    final World world;
    private final SplittableRandom random;
    private final boolean aside;
    private final Map<String, Ask> asks = new LinkedHashMap<>();
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
        this.world = new World(aside, seed, World.rationed(World.settings(aside), free, share, span));
        for (String id : List.of("a0", "a1", "b2", "b3", "c4")) {
            states.put(id, State.READY);
        }
        if (aside) {
            states.put("origin", State.READY);
        }
        world.list(ListKind.CACHED, states.keySet().toArray(String[]::new));
        verify();
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step(i);
            verify();
        }
        for (int i = 0; i < 50; i++) {
            world.pass(100 * World.MS);
            verify();
        }
        asks.forEach((id, ask) -> assertTrue(ask.ended || ask.out != null, "never answered: " + id));
    }

    private void step(int i) {
        int dice = random.nextInt(100);
        if (dice < 45) {
            String id = "r" + i;
            Ask ask = new Ask();
            ask.type = random.nextInt(4);
            ask.giveUp = world.now + 2000 * World.MS;
            asks.put(id, ask);
            taken.add(world.now);
            world.ask(id, ask.type, "k" + random.nextInt(30), random.nextInt(2));
        } else if (dice < 80) {
            List<String> out = new ArrayList<>();
            asks.forEach((id, ask) -> {
                if (ask.out != null) {
                    out.add(id);
                }
            });
            if (!out.isEmpty()) {
                answer(out.get(random.nextInt(out.size())));
            }
        } else if (dice < 97) {
            world.pass(random.nextInt(60) * World.MS);
        } else {
            List<String> ids = new ArrayList<>(states.keySet());
            String id = ids.get(random.nextInt(ids.size()));
            State state = State.values()[random.nextInt(3)];
            states.put(id, state);
            if (state == State.READY) {
                stoppedSince.remove(id);
            } else {
                stoppedSince.putIfAbsent(id, world.now);
            }
            world.list(ListKind.CHANGES, List.of(World.server(id, state, world.now)));
        }
    }

    private void answer(String id) {
        Ask ask = asks.get(id);
        Code[] codes = Code.values();
        Code code = random.nextInt(2) == 0 ? Code.OK : codes[random.nextInt(codes.length)];
        if (code == Code.MISS && (!aside || ask.out.equals("origin"))) {
            code = Code.ERROR;
        }
        if (code.mayHaveRun && ask.ranSince < 0) {
            ask.ranSince = ask.sentAt;
            ask.ranZone = ask.out.charAt(0);
        }
        ask.out = null;
        ask.missed = code == Code.MISS;
        boolean over = ask.ended || code == Code.OK;
        ask.ended = over;
        world.balancer.outcome(
                world.now,
                new Balancer.Outcome(
                        id, ask.attempts - 1, code, world.now - ask.sentAt, over, Balancer.CacheStatus.NONE, null));
        world.collectTimers();
    }

    private void verify() {
        List<String> lines = world.recorder.lines;
        for (; linesSeen < lines.size(); linesSeen++) {
            at = world.recorder.times.get(linesSeen);
            String[] words = lines.get(linesSeen).split(" ");
            Ask ask = words.length > 1 ? asks.get(words[1]) : null;
            switch (words[0]) {
                case "send" -> send(words[1], ask, words[2]);
                case "refuse" -> {
                    answeredOnce(words[1], ask);
                    boolean mayRun = ask.ranSince >= 0 || ask.out != null;
                    assertFalse(
                            mayRun && (ask.type == World.CHARGE || ask.type == World.SAVE_IN_ZONE),
                            "untrue refusal of " + words[1]);
                }
                case "fail" -> answeredOnce(words[1], ask);
                default -> {}
            }
        }
    }

    private void answeredOnce(String id, Ask ask) {
        assertFalse(ask.ended, "answered twice: " + id);
        assertTrue(at <= ask.giveUp, "late: " + id);
        ask.ended = true;
    }

    private void send(String id, Ask ask, String server) {
        assertFalse(ask.ended, "sent after its end: " + id);
        assertEquals(null, ask.out, "two attempts at once: " + id);
        assertTrue(ask.attempts < 4, "too many attempts: " + id);
        Long stopped = stoppedSince.get(server);
        assertTrue(stopped == null || at - stopped <= World.GRACE, "sent to a stopped server: " + server);
        if (ask.ranSince >= 0 && ask.type != World.READ) {
            assertTrue(ask.type != World.CHARGE, "unsafe sent twice: " + id);
            assertTrue(at - ask.ranSince <= 900 * World.MS, "outside the window: " + id);
            assertTrue(
                    ask.type != World.SAVE_IN_ZONE || server.charAt(0) % 2 == ask.ranZone % 2,
                    "outside the group: " + id);
        }
        if (ask.attempts > 0 && !ask.missed && span > 0) {
            resent.add(at);
            resentInAll++;
            long tries = resent.stream().filter(t -> t >= at - span).count();
            long requests = taken.stream().filter(t -> t > at - span).count();
            assertTrue(tries <= free + share * requests, "over the ration: " + tries + " for " + requests);
        }
        ask.attempts++;
        ask.out = server;
        ask.sentAt = at;
    }
}
