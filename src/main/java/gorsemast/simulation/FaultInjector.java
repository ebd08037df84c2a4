package gorsemast.simulation;

import java.util.List;

/** Injects the faults of a scenario. A fault that would exceed the number of core machines that may be lost at once waits. */
final class FaultInjector {
    private static final long AGAIN_MICROS = 500_000;
    private static final int MOST_WAITS = 30;
    private static final long RESTART_MICROS = 300_000;
    private static final long WIPED_MICROS = 1_000_000;

    private final Simulation simulation;
    private final MachineFaults machines;
    private final ServerFaults servers;
    private final LinkFaults cuts;
    private final Replacements replacements;
    private final AcknowledgementFaults acks;

    FaultInjector(Simulation simulation) {
        this.simulation = simulation;
        this.machines = new MachineFaults(simulation);
        this.servers = new ServerFaults(simulation);
        this.cuts = new LinkFaults(simulation, machines);
        this.replacements = new Replacements(simulation, machines);
        this.acks = new AcknowledgementFaults(simulation, machines, servers);
    }

    MachineFaults machines() {
        return machines;
    }

    ServerFaults servers() {
        return servers;
    }

    static <T> T pick(List<T> of, int number) {
        return of.isEmpty() ? null : of.get(number % of.size());
    }

    Machine pickCoreMachine(int number) {
        return pick(simulation.machines(true), number);
    }

    private Machine pickEdge(int number) {
        return pick(simulation.machines(false), number);
    }

    /** The number of core machines that a fault takes down at once; -1 for all of them. */
    private int coreMachinesLost(Fault fault) {
        return switch (fault.kind()) {
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
            case ZONE_POWER, ZONE_CUT -> cuts.coreMachinesOfZone(fault.pick()).size();
            default -> 0;
        };
    }

    private boolean isAllowed(int takes) {
        return takes == 0 || (takes < 0 ? simulation.mayLose(simulation.losses()) : simulation.mayLose(takes));
    }

    void inject(Fault fault) {
        if (coreMachinesLost(fault) <= simulation.losses()) {
            inject(fault, 0);
        }
    }

    private void inject(Fault fault, int waited) {
        if (!isAllowed(coreMachinesLost(fault))) {
            if (waited < MOST_WAITS) {
                simulation.time.after(AGAIN_MICROS, () -> inject(fault, waited + 1));
            }
            return;
        }
        simulation.logEvent(fault.toString());
        simulation.recordDuration(Outcome.INJECTED + fault.kind(), waited * AGAIN_MICROS);
        int n = fault.pick();
        long span = fault.span();
        switch (fault.kind()) {
            case CONFIG -> simulation.operator.configure(() -> {});
            case CONFIG_RACE -> simulation.operator.raceUnderOneNumber();
            case SAME_NUMBER -> simulation.operator.sameNumber(n % 2 == 0 ? 0 : span / 10);
            case CONFIG_THRICE -> simulation.operator.sendToThreeMachines();
            case CONFIG_MANY -> simulation.operator.startManyChanges();
            case CONFIG_STREAM -> streamChanges(simulation.time.now() + span);
            case CONFIG_AGAIN -> simulation.operator.resend(n);
            case BAD_CONFIG -> simulation.operator.sendImproper(n);
            case READ -> simulation.operator.readAll();
            case LOSE_ACKS -> loseAcks(span);
            case PURGE -> simulation.operator.purge(n, () -> {});
            case PURGE_STORM -> streamPurges(n, simulation.time.now() + span);
            case DRAIN -> servers.drain(n, () -> {});
            case DRAIN_LONG -> servers.drainSlowly(n, span);
            case RELEASE -> servers.release(n);
            case CRASH_SERVER -> servers.crash(n, false);
            case REUSE -> servers.crash(n, true);
            case LOSE_ANSWERS -> servers.loseAnswers(n, span);
            case SLOW_SERVER -> servers.slowDown(n, span);
            case CONFUSED -> servers.confuse(n, span);
            case ROLL -> machines.roll(0);
            case RELOAD -> machines.reload();
            case KILL_EDGE -> machines.restart(pickEdge(n), false, RESTART_MICROS);
            case HERD ->
                simulation.machines(false).forEach(one -> {
                    if ((one.ip.hashCode() ^ n) % 3 != 0) {
                        machines.restart(one, false, RESTART_MICROS);
                    }
                });
            case KILL_CORES -> simulation.machines(true).forEach(one -> machines.restart(one, false, RESTART_MICROS));
            case FREEZE_EDGE -> machines.freeze(pickEdge(n), span);
            case FREEZE_EDGES ->
                simulation
                        .machines(false)
                        .forEach(one -> machines.freeze(one, span / 2 + simulation.random.nextLong(span / 2 + 1)));
            case HOLD_EDGE -> cuts.delayLinks(pickEdge(n), simulation.machines(true), span);
            case CUT_EDGE -> cuts.isolate(pickEdge(n), span, NetworkLinks.Cut.of(n), true, true);
            case CLOCK -> {
                machines.clock(pickCoreMachine(n), span);
                machines.clock(pickEdge(n), span);
            }
            default -> injectCoreFault(fault);
        }
    }

    private void injectCoreFault(Fault fault) {
        int n = fault.pick();
        long span = fault.span();
        Machine leader = simulation.primaryExcept(null);
        Machine struck =
                switch (fault.kind()) {
                    case CUT_LEADER, CUT_LEADER_ONE_WAY, REPLACE_PRIMARY_THEN_WIPE ->
                        leader == null ? pickCoreMachine(n) : leader;
                    default -> pickCoreMachine(n);
                };
        switch (fault.kind()) {
            case POWER_AFTER_ACK, WIPE_AFTER_ACK, STALL, SLOW_DISK, FULL_DISK, HOLD_LINK, HOLD_NEWS, ROLL_CORES -> {
                // measured where they are injected, or no primary is lost
            }
            default -> watchTakeover(fault.kind().toString(), struck);
        }
        NetworkLinks.Cut how = NetworkLinks.Cut.of(n);
        switch (fault.kind()) {
            case KILL_CORE -> machines.restart(struck, false, RESTART_MICROS);
            case POWER_CORE -> machines.restart(struck, true, span);
            case FREEZE_CORE -> machines.freeze(struck, span);
            case STALL -> machines.stall(struck, span);
            case SLOW_DISK -> machines.slowDisk(struck, span);
            case FULL_DISK -> machines.fullDisk(struck, span);
            case WIPE_CORE -> machines.wipe(struck, span);
            case WIPE_REST_POWER -> acks.wipeOnePowerOffOthers(struck, n, span);
            case POWER_AFTER_ACK -> acks.failAcknowledgingMachine(n, false, span);
            case WIPE_AFTER_ACK -> acks.failAcknowledgingMachine(n, true, span);
            case POWER_ALL_AFTER_ACK -> acks.powerOffAllAfterAcknowledgement(n, span);
            case POWER_ALL_TIMED -> acks.powerOffAllAfterChange(n, span);
            case CUT_CORE, CUT_LEADER -> cuts.isolate(struck, span, how, true, true);
            case CUT_ONE_WAY -> cuts.isolate(struck, span, how, true, false);
            case CUT_ONE_WAY_IN -> cuts.isolate(struck, span, how, false, true);
            case CUT_LEADER_ONE_WAY -> cuts.isolate(struck, span, how, n % 2 == 0, n % 2 != 0);
            case CUT_SIDE -> cuts.partition(List.of(struck), span, how, false);
            case CUT_SEEDS -> cuts.isolateFirstSeed(struck, span, how);
            case CUT_TWO -> cuts.partition(List.of(struck, pickCoreMachine(n + 1)), span, how, false);
            case CUT_BOTH -> cuts.partition(List.of(struck), span, how, true);
            case HOLD_LINK -> cuts.delayLinks(struck, List.of(pickCoreMachine(n + 1)), span);
            case ZONE_POWER -> cuts.failZone(n, span, true);
            case ZONE_CUT -> cuts.failZone(n, span, false);
            case REPLACE_CORE -> replacements.replaceLost(struck);
            case REPLACE_CORE_PLANNED -> replacements.replacePlanned(struck, () -> {});
            case REPLACE_PRIMARY_THEN_WIPE -> replacements.replacePlanned(struck, this::wipePrimary);
            case ROLL_CORES -> replacements.roll(simulation.machines(true));
            case HOLD_NEWS -> cuts.blockRegistryUpdates(struck, span);
            case REPLACE_TWO -> {
                replacements.replaceLost(struck);
                replacements.replaceLost(pickCoreMachine(n)); // the next one, as the first is removed
            }
            case REPLACE_ALL -> replacements.replaceAll();
            case SPARE_CORE -> replacements.addSpare();
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    /** Measures how long a take-over needs if the affected machine runs the primary. */
    private void watchTakeover(String kind, Machine machine) {
        if (machine != null && simulation.primaryExcept(null) == machine) {
            simulation.watch(Outcome.TAKEN_OVER + kind, () -> simulation.primaryExcept(machine) != null);
        }
    }

    /** Skipped if all have lost power meanwhile: losing a disk too would exceed what may be lost at once. */
    private void wipePrimary() {
        boolean dark = simulation.machines(true).stream().noneMatch(one -> one.power);
        Machine leads = simulation.primaryExcept(null);
        if (!dark) {
            machines.wipe(leads != null ? leads : pickCoreMachine(0), WIPED_MICROS);
        }
    }

    private void streamPurges(int n, long until) {
        if (simulation.time.now() < until) {
            simulation.operator.purge(n + simulation.random.nextInt(100), () -> {});
            simulation.time.after(65_000, () -> streamPurges(n, until));
        }
    }

    private void streamChanges(long until) {
        if (simulation.time.now() < until) {
            simulation.operator.configure(() -> {});
            simulation.time.after(40_000 + simulation.random.nextLong(120_000), () -> streamChanges(until));
        }
    }

    private void loseAcks(long span) {
        simulation.connectivity.recordLinkFault(true);
        simulation.externalCalls.ackLoss = 0.7;
        simulation.time.after(span, () -> {
            simulation.externalCalls.ackLoss = 0;
            simulation.connectivity.recordLinkFault(false);
        });
    }
}
