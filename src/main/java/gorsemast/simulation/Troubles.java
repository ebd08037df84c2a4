package gorsemast.simulation;

import java.util.List;

/** Has troubles happen, each in its turn: what would lose more core machines at once than may be lost waits. */
final class Troubles {
    private static final long AGAIN_MICROS = 500_000;
    private static final int MOST_WAITS = 30;
    private static final long RESTART_MICROS = 300_000;
    private static final long WIPED_MICROS = 1_000_000;

    private final World world;
    private final MachineTroubles machines;
    private final ServerTroubles servers;
    private final CutTroubles cuts;
    private final Replacements replacements;
    private final AckTroubles acks;

    Troubles(World world) {
        this.world = world;
        this.machines = new MachineTroubles(world);
        this.servers = new ServerTroubles(world);
        this.cuts = new CutTroubles(world, machines);
        this.replacements = new Replacements(world, machines);
        this.acks = new AckTroubles(world, machines, servers);
    }

    MachineTroubles machines() {
        return machines;
    }

    ServerTroubles servers() {
        return servers;
    }

    static <T> T pick(List<T> of, int number) {
        return of.isEmpty() ? null : of.get(number % of.size());
    }

    Machine core(int number) {
        return pick(world.machines(true), number);
    }

    private Machine edge(int number) {
        return pick(world.machines(false), number);
    }

    /** How many core machines a trouble takes at once; -1 for all of them. */
    private int takes(Trouble trouble) {
        return switch (trouble.kind()) {
            case REPLACE_CORE,
                    REPLACE_CORE_PLANNED,
                    REPLACE_PRIMARY_THEN_WIPE,
                    ROLL_CORES,
                    HOLD_NEWS,
                    SPARE_CORE,
                    KILL_CORE,
                    POWER_CORE,
                    FREEZE_CORE,
                    CUT_CORE,
                    CUT_ONE_WAY,
                    CUT_ONE_WAY_IN,
                    CUT_LEADER,
                    CUT_LEADER_ONE_WAY,
                    CUT_SIDE,
                    CUT_SEEDS,
                    HOLD_LINK,
                    STALL,
                    SLOW_DISK,
                    FULL_DISK,
                    WIPE_CORE,
                    WIPE_REST_POWER,
                    POWER_AFTER_ACK,
                    WIPE_AFTER_ACK -> 1;
            case CUT_BOTH, KILL_CORES, POWER_ALL_AFTER_ACK, POWER_ALL_TIMED, REPLACE_ALL -> -1;
            case CUT_TWO, REPLACE_TWO -> 2;
            case ZONE_POWER, ZONE_CUT -> cuts.coresOf(trouble.pick()).size();
            default -> 0;
        };
    }

    private boolean may(int takes) {
        return takes == 0 || (takes < 0 ? world.mayLose(world.losses()) : world.mayLose(takes));
    }

    void strike(Trouble trouble) {
        if (takes(trouble) <= world.losses()) {
            strike(trouble, 0);
        }
    }

    private void strike(Trouble trouble, int waited) {
        if (!may(takes(trouble))) {
            if (waited < MOST_WAITS) {
                world.time.after(AGAIN_MICROS, () -> strike(trouble, waited + 1));
            }
            return;
        }
        world.say(trouble.toString());
        world.took(Outcome.STRUCK + trouble.kind(), waited * AGAIN_MICROS);
        int n = trouble.pick();
        long span = trouble.span();
        switch (trouble.kind()) {
            case CONFIG -> world.operator.configure(() -> {});
            case CONFIG_RACE -> world.operator.race();
            case SAME_NUMBER -> world.operator.sameNumber(n % 2 == 0 ? 0 : span / 10);
            case CONFIG_THRICE -> world.operator.thrice();
            case CONFIG_MANY -> world.operator.many();
            case CONFIG_STREAM -> stream(world.time.now() + span);
            case CONFIG_AGAIN -> world.operator.again(n);
            case BAD_CONFIG -> world.operator.bad(n);
            case READ -> world.operator.readAll();
            case LOSE_ACKS -> loseAcks(span);
            case PURGE -> world.operator.purge(n, () -> {});
            case PURGE_STORM -> storm(n, world.time.now() + span);
            case DRAIN -> servers.leaves(n, () -> {});
            case DRAIN_LONG -> servers.leavesSlowly(n, span);
            case RELEASE -> servers.release(n);
            case CRASH_SERVER -> servers.crash(n, false);
            case REUSE -> servers.crash(n, true);
            case LOSE_ANSWERS -> servers.lose(n, span);
            case SLOW_SERVER -> servers.slow(n, span);
            case CONFUSED -> servers.confuse(n, span);
            case ROLL -> machines.roll(0);
            case RELOAD -> machines.reload();
            case KILL_EDGE -> machines.bounce(edge(n), false, RESTART_MICROS);
            case HERD ->
                world.machines(false).forEach(one -> {
                    if ((one.ip.hashCode() ^ n) % 3 != 0) {
                        machines.bounce(one, false, RESTART_MICROS);
                    }
                });
            case KILL_CORES -> world.machines(true).forEach(one -> machines.bounce(one, false, RESTART_MICROS));
            case FREEZE_EDGE -> machines.freeze(edge(n), span);
            case FREEZE_EDGES ->
                world.machines(false)
                        .forEach(one -> machines.freeze(one, span / 2 + world.random.nextLong(span / 2 + 1)));
            case HOLD_EDGE -> cuts.hold(edge(n), world.machines(true), span);
            case CUT_EDGE -> cuts.off(edge(n), span, Ways.Cut.of(n), true, true);
            case CLOCK -> {
                machines.clock(core(n), span);
                machines.clock(edge(n), span);
            }
            default -> core(trouble);
        }
    }

    private void core(Trouble trouble) {
        int n = trouble.pick();
        long span = trouble.span();
        Machine leader = world.primaryBut(null);
        Machine struck =
                switch (trouble.kind()) {
                    case CUT_LEADER, CUT_LEADER_ONE_WAY, REPLACE_PRIMARY_THEN_WIPE -> leader == null ? core(n) : leader;
                    default -> core(n);
                };
        switch (trouble.kind()) {
            case POWER_AFTER_ACK, WIPE_AFTER_ACK, STALL, SLOW_DISK, FULL_DISK, HOLD_LINK, HOLD_NEWS, ROLL_CORES -> {
                // told where they strike, or nobody takes over
            }
            default -> primaryLost(trouble.kind().toString(), struck);
        }
        Ways.Cut how = Ways.Cut.of(n);
        switch (trouble.kind()) {
            case KILL_CORE -> machines.bounce(struck, false, RESTART_MICROS);
            case POWER_CORE -> machines.bounce(struck, true, span);
            case FREEZE_CORE -> machines.freeze(struck, span);
            case STALL -> machines.stall(struck, span);
            case SLOW_DISK -> machines.slowDisk(struck, span);
            case FULL_DISK -> machines.fullDisk(struck, span);
            case WIPE_CORE -> machines.wipe(struck, span);
            case WIPE_REST_POWER -> acks.wipeRestPower(struck, n, span);
            case POWER_AFTER_ACK -> acks.one(n, false, span);
            case WIPE_AFTER_ACK -> acks.one(n, true, span);
            case POWER_ALL_AFTER_ACK -> acks.all(n, span);
            case POWER_ALL_TIMED -> acks.timed(n, span);
            case CUT_CORE, CUT_LEADER -> cuts.off(struck, span, how, true, true);
            case CUT_ONE_WAY -> cuts.off(struck, span, how, true, false);
            case CUT_ONE_WAY_IN -> cuts.off(struck, span, how, false, true);
            case CUT_LEADER_ONE_WAY -> cuts.off(struck, span, how, n % 2 == 0, n % 2 != 0);
            case CUT_SIDE -> cuts.sides(List.of(struck), span, how, false);
            case CUT_SEEDS -> cuts.seeds(struck, span, how);
            case CUT_TWO -> cuts.sides(List.of(struck, core(n + 1)), span, how, false);
            case CUT_BOTH -> cuts.sides(List.of(struck), span, how, true);
            case HOLD_LINK -> cuts.hold(struck, List.of(core(n + 1)), span);
            case ZONE_POWER -> cuts.zone(n, span, true);
            case ZONE_CUT -> cuts.zone(n, span, false);
            case REPLACE_CORE -> replacements.unplanned(struck);
            case REPLACE_CORE_PLANNED -> replacements.planned(struck, () -> {});
            case REPLACE_PRIMARY_THEN_WIPE -> replacements.planned(struck, this::wipeLeader);
            case ROLL_CORES -> replacements.roll(world.machines(true));
            case HOLD_NEWS -> cuts.holdNews(struck, span);
            case REPLACE_TWO -> {
                replacements.unplanned(struck);
                replacements.unplanned(core(n)); // the next one, as the first has gone
            }
            case REPLACE_ALL -> replacements.all();
            case SPARE_CORE -> replacements.spare();
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    /** Measures how long it takes until another one leads, where the machine that is struck now leads. */
    private void primaryLost(String kind, Machine machine) {
        if (machine != null && world.primaryBut(null) == machine) {
            world.watch(Outcome.TAKEN_OVER + kind, () -> world.primaryBut(machine) != null);
        }
    }

    /** Not where all have lost power meanwhile: a disk beside these would be more than may be lost at once. */
    private void wipeLeader() {
        boolean dark = world.machines(true).stream().noneMatch(one -> one.power);
        Machine leads = world.primaryBut(null);
        if (!dark) {
            machines.wipe(leads != null ? leads : core(0), WIPED_MICROS);
        }
    }

    private void storm(int n, long until) {
        if (world.time.now() < until) {
            world.operator.purge(n + world.random.nextInt(100), () -> {});
            world.time.after(65_000, () -> storm(n, until));
        }
    }

    private void stream(long until) {
        if (world.time.now() < until) {
            world.operator.configure(() -> {});
            world.time.after(40_000 + world.random.nextLong(120_000), () -> stream(until));
        }
    }

    private void loseAcks(long span) {
        world.contact.linkTrouble(true);
        world.outside.ackLoss = 0.7;
        world.time.after(span, () -> {
            world.outside.ackLoss = 0;
            world.contact.linkTrouble(false);
        });
    }
}
