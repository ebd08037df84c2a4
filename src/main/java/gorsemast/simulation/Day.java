package gorsemast.simulation;

import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A day: sizes, a seed for everything that is drawn while it is played, and what happens.
 *
 * @param length of traffic, in microseconds
 * @param losses how many core machines may be lost at once
 */
public record Day(int cores, int edges, long seed, long length, List<Trouble> troubles, Closing closing, int losses) {
    private static final long SECOND = 1_000_000;
    private static final int MOST = 9;
    private static final int HOWS = 12;
    private static final int LONGEST_CUT = 20;

    /** One core machine may be lost at once. */
    public Day(int cores, int edges, long seed, long length, List<Trouble> troubles, Closing closing) {
        this(cores, edges, seed, length, troubles, closing, 1);
    }

    /** Draws one as the operators do: planned work and faults, early ones in calm, later ones together. */
    public static Day drawn(int cores, int edges, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Trouble> troubles = new ArrayList<>();
        int count = 2 + random.nextInt(MOST - 1);
        long length = 24 * SECOND;
        return drawn(cores, edges, seed, length, count, random, troubles);
    }

    /** A long one: so many seconds, a trouble each few seconds, and changes all the while. */
    public static Day drawn(int cores, int edges, long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(new Trouble(Kind.CONFIG_STREAM, SECOND, (seconds - 6) * SECOND, 0));
        return drawn(cores, edges, seed, seconds * SECOND, seconds / 3, random, troubles);
    }

    private static Day drawn(
            int cores, int edges, long seed, long length, int count, SplittableRandom random, List<Trouble> troubles) {
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            troubles.add(new Trouble(
                    kind,
                    SECOND + random.nextLong(length - 6 * SECOND),
                    SECOND + random.nextLong((random.nextInt(4) == 0 ? LONGEST_CUT : 4) * SECOND),
                    random.nextInt(HOWS * Trouble.HOW)));
        }
        // Something that can be acknowledged wrongly goes on in each of them.
        troubles.add(new Trouble(Kind.CONFIG, 2 * SECOND + random.nextLong(length / 2), 0, 0));
        troubles.add(new Trouble(
                random.nextBoolean() ? Kind.DRAIN : Kind.PURGE,
                3 * SECOND + random.nextLong(length / 2),
                0,
                random.nextInt(1_000)));
        troubles.sort(Comparator.comparingLong(Trouble::at));
        Closing closing = Closing.values()[random.nextInt(Closing.values().length)];
        return new Day(cores, edges, seed, length, List.copyOf(troubles), closing);
    }

    /** What goes on all the while on a pressed day; what stands twice is drawn twice as often. */
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
    /** What strikes the core on a pressed day. */
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

    /** Draws one on which orders of all sorts come all the while, and the core is struck again and again. */
    public static Day pressed(int cores, int edges, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long length = 30 * SECOND;
        List<Trouble> troubles = new ArrayList<>();
        for (long at = SECOND; at < length - 2 * SECOND; at += random.nextLong(SECOND)) {
            troubles.add(trouble(ORDERS, at, 3, random));
        }
        for (int i = 3 + random.nextInt(5); i > 0; i--) {
            troubles.add(trouble(CORE, SECOND + random.nextLong(length - 4 * SECOND), LONGEST_CUT, random));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            troubles.add(trouble(OTHERS, SECOND + random.nextLong(length - 4 * SECOND), LONGEST_CUT / 2, random));
        }
        troubles.sort(Comparator.comparingLong(Trouble::at));
        Closing closing = Closing.values()[random.nextInt(Closing.values().length)];
        return new Day(cores, edges, seed, length, List.copyOf(troubles), closing);
    }

    private static Trouble trouble(List<Kind> of, long at, int seconds, SplittableRandom random) {
        return new Trouble(
                of.get(random.nextInt(of.size())),
                at,
                SECOND / 2 + random.nextLong(random.nextInt(2) == 0 ? seconds * SECOND : 3 * SECOND),
                random.nextInt(HOWS * Trouble.HOW));
    }

    /** The same with other troubles. */
    Day with(List<Trouble> others, Closing ending) {
        return new Day(cores, edges, seed, length, List.copyOf(others), ending, losses);
    }

    /** The same where so many core machines may be lost at once. */
    public Day bearing(int most) {
        return new Day(cores, edges, seed, length, troubles, closing, most);
    }

    /** The same without troubles of these kinds. */
    public Day without(Set<Kind> kinds) {
        return with(troubles.stream().filter(one -> !kinds.contains(one.kind())).toList(), closing);
    }

    /** As a test's text. */
    public String asTest() {
        StringBuilder text =
                new StringBuilder("new Day(" + cores + ", " + edges + ", " + seed + "L, " + length + "L, List.of(");
        for (int i = 0; i < troubles.size(); i++) {
            Trouble one = troubles.get(i);
            text.append(i == 0 ? "" : ",")
                    .append("\n    new Trouble(Kind.")
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
                .append(").play(Plant.NONE)")
                .toString();
    }

    /** Plays it; throws {@link Violation} where a rule is broken. */
    public Outcome play(Plant plant) {
        return new World(this, plant, null).play();
    }

    /** Plays it and tells what happened. */
    public Outcome play(Plant plant, List<String> story) {
        return new World(this, plant, story).play();
    }
}
