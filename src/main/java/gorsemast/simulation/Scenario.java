package gorsemast.simulation;

import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A planned run: cluster sizes, the seed of all random draws during the run, and the faults to inject.
 *
 * @param length duration of the traffic, in microseconds
 * @param losses how many core machines may be lost at once
 */
public record Scenario(int cores, int edges, long seed, long length, List<Fault> faults, Closing closing, int losses) {
    private static final long SECOND = 1_000_000;
    private static final int MOST = 9;
    private static final int HOWS = 12;
    private static final int LONGEST_CUT = 20;

    /** A scenario in which one core machine may be lost at once. */
    public Scenario(int cores, int edges, long seed, long length, List<Fault> faults, Closing closing) {
        this(cores, edges, seed, length, faults, closing, 1);
    }

    /** Draws a scenario of planned work and faults, early ones in isolation, later ones overlapping. */
    public static Scenario generate(int cores, int edges, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        int count = 2 + random.nextInt(MOST - 1);
        long length = 24 * SECOND;
        return generate(cores, edges, seed, length, count, random, faults);
    }

    /** Draws a long scenario of the given number of seconds with continuous changes and a fault every few seconds. */
    public static Scenario generate(int cores, int edges, long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(Kind.CONFIG_STREAM, SECOND, (seconds - 6) * SECOND, 0));
        return generate(cores, edges, seed, seconds * SECOND, seconds / 3, random, faults);
    }

    private static Scenario generate(
            int cores, int edges, long seed, long length, int count, SplittableRandom random, List<Fault> faults) {
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            faults.add(new Fault(
                    kind,
                    SECOND + random.nextLong(length - 6 * SECOND),
                    SECOND + random.nextLong((random.nextInt(4) == 0 ? LONGEST_CUT : 4) * SECOND),
                    random.nextInt(HOWS * Fault.HOW)));
        }
        // Each scenario contains changes that could be acknowledged wrongly.
        faults.add(new Fault(Kind.CONFIG, 2 * SECOND + random.nextLong(length / 2), 0, 0));
        faults.add(new Fault(
                random.nextBoolean() ? Kind.DRAIN : Kind.PURGE,
                3 * SECOND + random.nextLong(length / 2),
                0,
                random.nextInt(1_000)));
        faults.sort(Comparator.comparingLong(Fault::at));
        Closing closing = Closing.values()[random.nextInt(Closing.values().length)];
        return new Scenario(cores, edges, seed, length, List.copyOf(faults), closing);
    }

    /** The changes of an intense scenario; entries listed twice are drawn twice as often. */
    private static final List<Kind> ORDERS = List.of(
            Kind.CONFIG,
            Kind.CONFIG,
            Kind.CONFIG,
            Kind.SAME_NUMBER,
            Kind.CONFIG_THRICE,
            Kind.CONFIG_AGAIN,
            Kind.BAD_CONFIG,
            Kind.READ,
            Kind.PURGE,
            Kind.PURGE,
            Kind.RELEASE,
            Kind.DRAIN_LONG);
    /** The core faults of an intense scenario. */
    private static final List<Kind> CORE = List.of(
            Kind.KILL_CORE,
            Kind.KILL_CORES,
            Kind.POWER_CORE,
            Kind.FREEZE_CORE,
            Kind.CUT_CORE,
            Kind.CUT_ONE_WAY,
            Kind.CUT_ONE_WAY_IN,
            Kind.CUT_LEADER,
            Kind.CUT_LEADER,
            Kind.CUT_LEADER_ONE_WAY,
            Kind.CUT_LEADER_ONE_WAY,
            Kind.CUT_SIDE,
            Kind.CUT_BOTH,
            Kind.CUT_SEEDS,
            Kind.HOLD_LINK,
            Kind.HOLD_NEWS,
            Kind.ROLL_CORES,
            Kind.REPLACE_PRIMARY_THEN_WIPE,
            Kind.STALL,
            Kind.SLOW_DISK,
            Kind.FULL_DISK,
            Kind.WIPE_CORE,
            Kind.WIPE_REST_POWER,
            Kind.POWER_AFTER_ACK,
            Kind.WIPE_AFTER_ACK,
            Kind.POWER_ALL_AFTER_ACK,
            Kind.POWER_ALL_TIMED,
            Kind.REPLACE_CORE,
            Kind.REPLACE_CORE_PLANNED,
            Kind.REPLACE_ALL,
            Kind.SPARE_CORE);

    private static final List<Kind> OTHERS = List.of(
            Kind.LOSE_ACKS,
            Kind.KILL_EDGE,
            Kind.HERD,
            Kind.FREEZE_EDGE,
            Kind.FREEZE_EDGES,
            Kind.HOLD_EDGE,
            Kind.CUT_EDGE,
            Kind.RELOAD);

    /** Draws a scenario with continuous changes of all kinds and repeated faults in the core. */
    public static Scenario generateIntense(int cores, int edges, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long length = 30 * SECOND;
        List<Fault> faults = new ArrayList<>();
        for (long at = SECOND; at < length - 2 * SECOND; at += random.nextLong(SECOND)) {
            faults.add(randomFault(ORDERS, at, 3, random));
        }
        for (int i = 3 + random.nextInt(5); i > 0; i--) {
            faults.add(randomFault(CORE, SECOND + random.nextLong(length - 4 * SECOND), LONGEST_CUT, random));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            faults.add(randomFault(OTHERS, SECOND + random.nextLong(length - 4 * SECOND), LONGEST_CUT / 2, random));
        }
        faults.sort(Comparator.comparingLong(Fault::at));
        Closing closing = Closing.values()[random.nextInt(Closing.values().length)];
        return new Scenario(cores, edges, seed, length, List.copyOf(faults), closing);
    }

    private static Fault randomFault(List<Kind> of, long at, int seconds, SplittableRandom random) {
        return new Fault(
                of.get(random.nextInt(of.size())),
                at,
                SECOND / 2 + random.nextLong(random.nextInt(2) == 0 ? seconds * SECOND : 3 * SECOND),
                random.nextInt(HOWS * Fault.HOW));
    }

    /** A copy with other faults and another closing fault. */
    Scenario withFaults(List<Fault> others, Closing ending) {
        return new Scenario(cores, edges, seed, length, List.copyOf(others), ending, losses);
    }

    /** A copy in which {@code most} core machines may be lost at once. */
    public Scenario withTolerableLosses(int most) {
        return new Scenario(cores, edges, seed, length, faults, closing, most);
    }

    /** A copy without faults of these kinds. */
    public Scenario withoutFaults(Set<Kind> kinds) {
        return withFaults(
                faults.stream().filter(one -> !kinds.contains(one.kind())).toList(), closing);
    }

    /** This scenario as Java code for a test. */
    public String toTestCode() {
        StringBuilder text = new StringBuilder(
                "new Scenario(" + cores + ", " + edges + ", " + seed + "L, " + length + "L, List.of(");
        for (int i = 0; i < faults.size(); i++) {
            Fault one = faults.get(i);
            text.append(i == 0 ? "" : ",")
                    .append("\n    new Fault(Kind.")
                    .append(one.kind())
                    .append(", ")
                    .append(one.at())
                    .append("L, ")
                    .append(one.span())
                    .append("L, ")
                    .append(one.pick())
                    .append(')');
        }
        return text.append("), Closing.")
                .append(closing)
                .append(losses == 1 ? "" : ", " + losses)
                .append(").run(InjectedDefect.NONE)")
                .toString();
    }

    /** Runs the scenario; throws {@link Violation} if a rule is violated. */
    public Outcome run(InjectedDefect defect) {
        return new Simulation(this, defect, null).run();
    }

    /** Runs the scenario and records its events in {@code eventLog}. */
    public Outcome run(InjectedDefect defect, List<String> eventLog) {
        return new Simulation(this, defect, eventLog).run();
    }
}
