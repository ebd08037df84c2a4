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
 * A core machine and an edge are cut off for twenty seconds, with changes sent to both sides; and power is lost everywhere
 * right after an acknowledgement. Synced registries are checked every 20 ms, in addition to the checkers' rules.
 */
class CutOffTest {
    private static final long SECOND = 1_000_000;
    private static final long LEAD = 9 * SECOND;
    private static final long STEP = 20_000;
    /** Changes acknowledged this long ago must be known to every synced registry. */
    private static final long KNOWN = 2 * SECOND;

    private record Acked(long at, long version) {}

    private final Deque<Acked> acked = new ArrayDeque<>();
    private final List<String> answers = new ArrayList<>();
    private Simulation simulation;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private void at(long since, Runnable task) {
        simulation.time.after(since, task);
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
        return simulation.machines(true).get(number);
    }

    private Machine edge(int number) {
        return simulation.machines(false).get(number);
    }

    private void cut(Machine one, boolean does, List<Machine> others) {
        others.stream().filter(other -> other != one).forEach(other -> {
            simulation.cut(one, other, does);
            simulation.cut(other, one, does);
        });
        if (does) {
            one.beginFault();
        } else {
            one.endFault(simulation.time.now());
        }
    }

    /** The first core machine and the first edge reach only each other. */
    private void wrongSide(boolean does) {
        List<Machine> others = new ArrayList<>(simulation.machines(true));
        others.remove(core(0));
        cut(edge(0), does, others);
        others.addAll(simulation.machines(false));
        others.remove(edge(0));
        cut(core(0), does, others);
        others.removeAll(simulation.machines(true));
        others.forEach(other -> {
            simulation.cut(edge(0), other, does);
            simulation.cut(other, edge(0), does);
        });
    }

    private boolean edgeReady(Machine machine) {
        return simulation.process(Program.PROXY, machine) instanceof Edge edge && edge.ready();
    }

    /** No synced registry lacks what was acknowledged {@link #KNOWN} ago. */
    private void vouchersKnowWhatIsAcknowledged() {
        long now = simulation.time.now();
        long newest = simulation.requestChecker.newest();
        if (acked.isEmpty() || acked.getLast().version < newest) {
            acked.add(new Acked(now, newest));
        }
        while (acked.size() > 1 && acked.stream().skip(1).findFirst().get().at < now - KNOWN) {
            acked.poll();
        }
        long known = acked.getFirst().at < now - KNOWN ? acked.getFirst().version : 0;
        for (Machine machine : simulation.machines(true)) {
            if (machine.frozenUntil <= now
                    && simulation.process(Program.REGISTRY, machine) instanceof Registry registry
                    && registry.registryNode.synced()) {
                Entry held = registry.registryNode.state().get(Kind.CONFIGURATION, "");
                assertThat(held == null ? 0 : held.stamp())
                        .as(machine.ip + " is synced at " + now / 1e6)
                        .isGreaterThanOrEqualTo(known);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"20,1", "20,2", "20,3", "7,4", "3,5"})
    void nobodyBecomesReadyByARegistryThatIsCutOff(long span, long seed) {
        Scenario scenario = new Scenario(
                3,
                4,
                seed,
                34 * SECOND,
                List.of(
                        new Fault(Fault.Kind.CONFIG, 6 * SECOND, 0, 0),
                        new Fault(Fault.Kind.CONFIG_RACE, 10 * SECOND, 0, 0),
                        new Fault(Fault.Kind.PURGE_STORM, 7 * SECOND, 6 * SECOND, 1),
                        new Fault(Fault.Kind.DRAIN, 8 * SECOND, 0, 0),
                        new Fault(Fault.Kind.RELEASE, 14 * SECOND, 0, 1)),
                Fault.Closing.NONE);
        simulation = new Simulation(scenario, InjectedDefect.NONE, null);
        long heal = LEAD + (4 + span) * SECOND;
        at(LEAD + 4 * SECOND, () -> wrongSide(true));
        at(LEAD + 6 * SECOND, () -> simulation.stop(edge(0), false));
        at(LEAD + 6 * SECOND, () -> simulation.start(edge(0), false));
        each(LEAD + 5 * SECOND, LEAD + 33 * SECOND, this::vouchersKnowWhatIsAcknowledged);
        if (span > 3) {
            each(LEAD + 6_100_000, heal, () -> assertThat(edgeReady(edge(0)))
                    .as("ready at " + simulation.time.now() / 1e6)
                    .isFalse());
        }
        at(heal, () -> wrongSide(false));
        at(heal + 3 * SECOND, () -> assertThat(edgeReady(edge(0))).isTrue());
        simulation.run();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/v1/purge", "/v1/nodes/x-9/heartbeat", "/v1/nodes/x-9/deregister"})
    void aRegistryThatIsCutOffSendsOrdersElsewhereAtOnce(String path) {
        simulation = new Simulation(
                new Scenario(3, 2, 3, 12 * SECOND, List.of(), Fault.Closing.NONE), InjectedDefect.NONE, null);
        String body = path.endsWith("purge")
                ? "{\"tag\":\"all\"}"
                : "{\"backend\":\"orders\",\"address\":\"10.9.9.9:80\",\"capacity\":1,\"state\":\"draining\",\"callSeq\":1}";
        at(LEAD + 2 * SECOND, () -> wrongSide(true));
        for (long since : new long[] {2_100_000, 2_500_000, 3_200_000, 5_000_000, 9_000_000}) {
            at(LEAD + since, () -> {
                long sent = simulation.time.now();
                simulation.call("test", core(0), "POST", path, body, SECOND, (status, text) -> {
                    answers.add(status + "");
                    assertThat(status).isEqualTo(503);
                    if (since > 3_000_000) {
                        assertThat(simulation.time.now() - sent).isLessThan(20_000);
                    }
                });
            });
        }
        simulation.run();
        assertThat(answers).hasSize(5);
    }

    private void powerLostEverywhere(boolean edgesToo) {
        List<Machine> all = new ArrayList<>(simulation.machines(true));
        if (edgesToo) {
            all.addAll(simulation.machines(false));
        }
        all.forEach(machine -> {
            machine.beginFault();
            simulation.stop(machine, true);
            simulation.time.after(SECOND, () -> {
                simulation.start(machine, false);
                machine.endFault(simulation.time.now());
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
        simulation = new Simulation(
                new Scenario(3, 3, seed, 16 * SECOND, List.of(), Fault.Closing.NONE), InjectedDefect.NONE, null);
        String ready =
                "{\"backend\":\"orders\",\"address\":\"10.9.9.9:80\",\"capacity\":1,\"state\":\"ready\",\"callSeq\":1}";
        String leaving = ready.replace("ready", "draining").replace("\"callSeq\":1", "\"callSeq\":2");
        boolean[] lost = new boolean[1];
        long[] back = new long[1];
        at(
                LEAD + 2 * SECOND,
                () -> simulation.call(
                        "test", core(1), "POST", "/v1/nodes/x-1/heartbeat", ready, SECOND, (status, text) -> {}));
        at(
                LEAD + 4 * SECOND,
                () -> simulation.call(
                        "test", core(0), "POST", "/v1/nodes/x-1/" + how, leaving, SECOND, (status, text) -> {
                            assertThat(status).isEqualTo(200);
                            powerLostEverywhere(true);
                            lost[0] = true;
                        }));
        each(LEAD + 4 * SECOND, LEAD + 14 * SECOND, () -> {
            for (Machine machine : simulation.machines(true)) {
                if (lost[0]
                        && simulation.process(Program.REGISTRY, machine) instanceof Registry registry
                        && registry.registryNode.synced()) {
                    back[0] = back[0] == 0 ? simulation.time.now() : back[0];
                    assertThat(leaves(registry.registryNode.state().get(Kind.SERVER, "x-1")))
                            .as(machine.ip + " is synced")
                            .isTrue();
                }
            }
            for (Edge edge : simulation.edges()) {
                if (lost[0] && edge.ready()) {
                    assertThat(leaves(edge.proxyNode.gossipState().get(Kind.SERVER, "x-1")))
                            .as(edge.machine.ip + " is ready")
                            .isTrue();
                }
            }
        });
        simulation.run();
        // Power is back a second later, processes listen 0.5 to 0.75 s after that, and the store has to elect.
        assertThat(back[0]).isBetween(1L, 10 * SECOND + LEAD + 4 * SECOND + SECOND + 3 * SECOND);
        assertThat(simulation.edges()).allMatch(Edge::ready);
    }

    /** Edges receive no purge for a second while the core that acknowledged it loses all power. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aPurgeOutlivesPowerLostEverywhereRightAfterItsAcknowledgement(long seed) {
        Scenario scenario = new Scenario(
                3, 3, seed, 18 * SECOND, List.of(new Fault(Fault.Kind.PURGE, 6 * SECOND, 0, 0)), Fault.Closing.NONE);
        simulation = new Simulation(scenario, InjectedDefect.NONE, null);
        boolean[] struck = new boolean[1];
        at(
                LEAD + 6 * SECOND - 1,
                () -> simulation.machines(false).forEach(one -> cut(one, true, simulation.machines(true))));
        at(
                LEAD + 6 * SECOND - 1,
                () -> simulation.onAck(machine -> {
                    struck[0] = true;
                    powerLostEverywhere(false);
                }));
        at(
                LEAD + 7 * SECOND,
                () -> simulation.machines(false).forEach(one -> cut(one, false, simulation.machines(true))));
        at(LEAD + 10 * SECOND, () -> simulation.edges().forEach(edge -> assertThat(
                        edge.proxyNode.gossipState().all(Kind.PURGE))
                .as(edge.machine.ip)
                .hasSize(1)));
        simulation.run(); // the checker knows what may be served
        assertThat(struck[0]).isTrue();
    }
}
