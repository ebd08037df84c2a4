package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.ServerInfo;
import gorsemast.http.NettyLog;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A core machine that is cut off for twenty seconds beside an edge, with orders to both sides; and power lost everywhere
 * right after an acknowledgement. What vouches is asked every 20 ms, besides the referee's rules.
 */
class CutOffTest {
    private static final long SECOND = 1_000_000;
    private static final long LEAD = 9 * SECOND;
    private static final long STEP = 20_000;
    /** What was acknowledged so long ago is known to whoever vouches. */
    private static final long KNOWN = 2 * SECOND;

    private record Acked(long at, long version) {}

    private final Deque<Acked> acked = new ArrayDeque<>();
    private final List<String> answers = new ArrayList<>();
    private World world;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private void at(long since, Runnable task) {
        world.time.after(since, task);
    }

    private void each(long from, long until, Runnable task) {
        if (from <= until) {
            at(from, () -> {
                task.run();
                each(STEP, until - from, task);
            });
        }
    }

    private Machine core(int number) {
        return world.machines(true).get(number);
    }

    private Machine edge(int number) {
        return world.machines(false).get(number);
    }

    private void cut(Machine one, boolean does, List<Machine> others) {
        others.stream().filter(other -> other != one).forEach(other -> {
            world.cut(one, other, does);
            world.cut(other, one, does);
        });
        if (does) {
            one.trouble();
        } else {
            one.calm(world.time.now());
        }
    }

    /** The first core machine and the first edge reach each other and nobody else. */
    private void wrongSide(boolean does) {
        List<Machine> others = new ArrayList<>(world.machines(true));
        others.remove(core(0));
        cut(edge(0), does, others);
        others.addAll(world.machines(false));
        others.remove(edge(0));
        cut(core(0), does, others);
        others.removeAll(world.machines(true));
        others.forEach(other -> {
            world.cut(edge(0), other, does);
            world.cut(other, edge(0), does);
        });
    }

    private boolean edgeReady(Machine machine) {
        return world.process(Program.PROXY, machine) instanceof Edge edge && edge.ready();
    }

    /** No registry vouches that lacks what was acknowledged {@link #KNOWN} ago. */
    private void vouchersKnowWhatIsAcknowledged() {
        long now = world.time.now();
        long newest = world.referee.newest();
        if (acked.isEmpty() || acked.getLast().version < newest) {
            acked.add(new Acked(now, newest));
        }
        while (acked.size() > 1 && acked.stream().skip(1).findFirst().get().at < now - KNOWN) {
            acked.poll();
        }
        long known = acked.getFirst().at < now - KNOWN ? acked.getFirst().version : 0;
        for (Machine machine : world.machines(true)) {
            if (machine.frozenUntil <= now
                    && world.process(Program.REGISTRY, machine) instanceof Registry registry
                    && registry.office.synced()) {
                Entry held = registry.office.state().get(Kind.CONFIGURATION, "");
                assertThat(held == null ? 0 : held.stamp())
                        .as(machine.ip + " vouches at " + now / 1e6)
                        .isGreaterThanOrEqualTo(known);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"20,1", "20,2", "20,3", "7,4", "3,5"})
    void nobodyBecomesReadyByARegistryThatIsCutOff(long span, long seed) {
        Day day = new Day(
                3,
                4,
                seed,
                34 * SECOND,
                List.of(
                        new Trouble(Trouble.Kind.CONFIG, 6 * SECOND, 0, 0),
                        new Trouble(Trouble.Kind.CONFIG_RACE, 10 * SECOND, 0, 0),
                        new Trouble(Trouble.Kind.PURGE_STORM, 7 * SECOND, 6 * SECOND, 1),
                        new Trouble(Trouble.Kind.DRAIN, 8 * SECOND, 0, 0),
                        new Trouble(Trouble.Kind.RELEASE, 14 * SECOND, 0, 1)),
                Trouble.Closing.NONE);
        world = new World(day, Plant.NONE, null);
        long heal = LEAD + (4 + span) * SECOND;
        at(LEAD + 4 * SECOND, () -> wrongSide(true));
        at(LEAD + 6 * SECOND, () -> world.stop(edge(0), false));
        at(LEAD + 6 * SECOND, () -> world.start(edge(0), false));
        each(LEAD + 5 * SECOND, LEAD + 33 * SECOND, this::vouchersKnowWhatIsAcknowledged);
        if (span > 3) {
            each(LEAD + 6_100_000, heal, () -> assertThat(edgeReady(edge(0)))
                    .as("ready at " + world.time.now() / 1e6)
                    .isFalse());
        }
        at(heal, () -> wrongSide(false));
        at(heal + 3 * SECOND, () -> assertThat(edgeReady(edge(0))).isTrue());
        world.play();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/v1/purge", "/v1/nodes/x-9/heartbeat", "/v1/nodes/x-9/deregister"})
    void aRegistryThatIsCutOffSendsOrdersElsewhereAtOnce(String path) {
        world = new World(new Day(3, 2, 3, 12 * SECOND, List.of(), Trouble.Closing.NONE), Plant.NONE, null);
        String body = path.endsWith("purge")
                ? "{\"tag\":\"all\"}"
                : "{\"backend\":\"orders\",\"address\":\"10.9.9.9:80\",\"capacity\":1,\"state\":\"draining\",\"callSeq\":1}";
        at(LEAD + 2 * SECOND, () -> wrongSide(true));
        for (long since : new long[] {2_100_000, 2_500_000, 3_200_000, 5_000_000, 9_000_000}) {
            at(LEAD + since, () -> {
                long sent = world.time.now();
                world.call("test", core(0), "POST", path, body, SECOND, (status, text) -> {
                    answers.add(status + "");
                    assertThat(status).isEqualTo(503);
                    if (since > 3_000_000) {
                        assertThat(world.time.now() - sent).isLessThan(20_000);
                    }
                });
            });
        }
        world.play();
        assertThat(answers).hasSize(5);
    }

    private void powerLostEverywhere(boolean edgesToo) {
        List<Machine> all = new ArrayList<>(world.machines(true));
        if (edgesToo) {
            all.addAll(world.machines(false));
        }
        all.forEach(machine -> {
            machine.trouble();
            world.stop(machine, true);
            world.time.after(SECOND, () -> {
                world.start(machine, false);
                machine.calm(world.time.now());
            });
        });
    }

    private static boolean leaves(Entry entry) {
        ServerInfo known = entry == null ? null : ServerInfo.fromEntry(entry);
        return known != null && (known.state() == ServerInfo.State.DRAINING || known.state() == ServerInfo.State.GONE);
    }

    @ParameterizedTest
    @CsvSource({"heartbeat,1", "heartbeat,2", "heartbeat,3", "deregister,4", "deregister,5", "deregister,6"})
    void whatWasAcknowledgedIsKnownBeforeAnybodyIsReadyAgain(String how, long seed) {
        world = new World(new Day(3, 3, seed, 16 * SECOND, List.of(), Trouble.Closing.NONE), Plant.NONE, null);
        String ready =
                "{\"backend\":\"orders\",\"address\":\"10.9.9.9:80\",\"capacity\":1,\"state\":\"ready\",\"callSeq\":1}";
        String leaving = ready.replace("ready", "draining").replace("\"callSeq\":1", "\"callSeq\":2");
        boolean[] lost = new boolean[1];
        long[] back = new long[1];
        at(
                LEAD + 2 * SECOND,
                () -> world.call(
                        "test", core(1), "POST", "/v1/nodes/x-1/heartbeat", ready, SECOND, (status, text) -> {}));
        at(
                LEAD + 4 * SECOND,
                () -> world.call("test", core(0), "POST", "/v1/nodes/x-1/" + how, leaving, SECOND, (status, text) -> {
                    assertThat(status).isEqualTo(200);
                    powerLostEverywhere(true);
                    lost[0] = true;
                }));
        each(LEAD + 4 * SECOND, LEAD + 14 * SECOND, () -> {
            for (Machine machine : world.machines(true)) {
                if (lost[0]
                        && world.process(Program.REGISTRY, machine) instanceof Registry registry
                        && registry.office.synced()) {
                    back[0] = back[0] == 0 ? world.time.now() : back[0];
                    assertThat(leaves(registry.office.state().get(Kind.SERVER, "x-1")))
                            .as(machine.ip + " vouches")
                            .isTrue();
                }
            }
            for (Edge edge : world.edges()) {
                if (lost[0] && edge.ready()) {
                    assertThat(leaves(edge.lookout.gossipState().get(Kind.SERVER, "x-1")))
                            .as(edge.machine.ip + " is ready")
                            .isTrue();
                }
            }
        });
        world.play();
        // Power is back a second later, processes listen 0.5 to 0.75 s after that, and the store has to elect.
        assertThat(back[0]).isBetween(1L, 10 * SECOND + LEAD + 4 * SECOND + SECOND + 3 * SECOND);
        assertThat(world.edges()).allMatch(Edge::ready);
    }

    /** Edges that do not hear of a purge for a second, while the core that acknowledged it loses all power. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aPurgeOutlivesPowerLostEverywhereRightAfterItsAcknowledgement(long seed) {
        Day day = new Day(
                3,
                3,
                seed,
                18 * SECOND,
                List.of(new Trouble(Trouble.Kind.PURGE, 6 * SECOND, 0, 0)),
                Trouble.Closing.NONE);
        world = new World(day, Plant.NONE, null);
        boolean[] struck = new boolean[1];
        at(LEAD + 6 * SECOND - 1, () -> world.machines(false).forEach(one -> cut(one, true, world.machines(true))));
        at(
                LEAD + 6 * SECOND - 1,
                () -> world.onAck(machine -> {
                    struck[0] = true;
                    powerLostEverywhere(false);
                }));
        at(LEAD + 7 * SECOND, () -> world.machines(false).forEach(one -> cut(one, false, world.machines(true))));
        at(LEAD + 10 * SECOND, () -> world.edges()
                .forEach(edge -> assertThat(edge.lookout.gossipState().all(Kind.PURGE))
                        .as(edge.machine.ip)
                        .hasSize(1)));
        world.play(); // the referee knows what may be served
        assertThat(struck[0]).isTrue();
    }
}
