package gorsemast.modelcheck;

import gorsemast.modelcheck.StoreCheck.Result;
import gorsemast.node.FaultTolerance;
import gorsemast.store.Location;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Random scenarios in which the members of the store change: machines are replaced with and without notice, at the same and
 * at other addresses, freeze, and lose power in between. When each successor has had {@code syncTime}, as much is lost as has
 * to be tolerated, and what was acknowledged must be readable within a bound.
 */
public final class MembershipCheck {
    private static final long SECOND = 1_000_000;
    /** How long a restarted machine gets before another one may be lost. */
    static final long SYNC_TIME = 4 * SECOND;
    /** The grace period of a process that is asked to leave, less what a store reserves. */
    static final long GRACE = 4_500_000;
    /** The time within which a read must answer after a tolerable loss. */
    static final long READ_WITHIN = 4 * SECOND;

    private final StoreSimulation simulation;
    private final SplittableRandom random;
    private final List<String> machines = new ArrayList<>();
    private final int losses;

    private MembershipCheck(StoreSimulation simulation, int losses, SplittableRandom random) {
        this.simulation = simulation;
        this.losses = losses;
        this.random = random;
        this.machines.addAll(simulation.machines());
    }

    /**
     * Runs random scenarios of {@code changes} changes each.
     *
     * @param members of the first start; machines to grow to {@code 2 * losses + 1} members, and a spare in every other
     *     scenario, exist too
     */
    public static Result random(int members, int losses, long seed, int scenarios, int changes, StoreDefect defect) {
        SplittableRandom seeds = new SplittableRandom(seed);
        long answered = 0;
        for (int c = 0; c < scenarios; c++) {
            int more = Math.max(0, 2 * losses + 1 - members) + c % 2;
            StoreSimulation simulation = new StoreSimulation(
                            members, more, FaultTolerance.ofMachines(losses), Map.of(), seeds.nextLong(), defect)
                    .recordingEvents();
            try {
                new MembershipCheck(simulation, losses, seeds.split()).runScenario(changes);
            } catch (StoreSimulation.Violation e) {
                return new Result(c + 1, answered, e.getMessage(), simulation.eventLog());
            }
            answered += simulation.answered();
        }
        return new Result(scenarios, answered, null, List.of());
    }

    private void runScenario(int changes) {
        simulation.calm(SECOND);
        machines.forEach(simulation::start);
        simulation.calm(SYNC_TIME + 2 * SECOND);
        for (int i = 0; i < changes; i++) {
            acknowledgeUpdate();
            changeMembership();
            acknowledgeUpdate();
            loseMachines();
            if (random.nextBoolean()) {
                loseMachines(); // with no update in between, which would bring a replica up to date
            }
        }
        simulation.heal();
    }

    private String randomMachine() {
        return machines.get(random.nextInt(machines.size()));
    }

    /** Sends an update until it is acknowledged. */
    private void acknowledgeUpdate() {
        long before = simulation.newest();
        for (int i = 0; i < 40 && simulation.newest() == before; i++) {
            simulation.put(simulation.leader() == null ? randomMachine() : simulation.leader(), i > 0);
            simulation.calm(SECOND / 10);
        }
        if (simulation.newest() == before) {
            throw new StoreSimulation.Violation("no update is acknowledged within 4 s though the losses are tolerable");
        }
    }

    private void changeMembership() {
        String old = randomMachine();
        switch (random.nextInt(7)) {
            case 0 -> { // at another address, without notice
                simulation.remove(old);
                simulation.rough(random.nextLong(SECOND));
                machines.set(machines.indexOf(old), join());
            }
            case 1 -> replacePlanned(old, false);
            case 2 -> replacePlanned(old, true);
            case 3 -> { // its disk is lost
                simulation.lose(old);
                simulation.rough(random.nextLong(SECOND));
                simulation.start(old);
            }
            case 4 -> { // it freezes for about as long as others wait before they consider it down
                simulation.freeze(old, true);
                simulation.calm(random.nextLong(4 * SECOND));
                simulation.freeze(old, false);
            }
            case 5 -> { // restarted gracefully
                simulation.leave(old, GRACE);
                simulation.rough(random.nextLong(SECOND));
                simulation.start(old);
            }
            default -> { // all at once, amid pending work
                simulation.rough(random.nextLong(SECOND));
                machines.forEach(ip -> simulation.kill(ip, true));
                machines.forEach(simulation::start);
            }
        }
        simulation.rough(random.nextLong(SECOND / 2));
        if (random.nextInt(4) == 0) {
            machines.forEach(ip -> simulation.kill(ip, true));
            machines.forEach(simulation::start);
        }
        simulation.calm(SYNC_TIME);
    }

    private String join() {
        String joins = simulation.add();
        simulation.start(joins);
        return joins;
    }

    /** Adds the new machine first; then the old one is asked to leave and killed half way or given its grace period. */
    private void replacePlanned(String old, boolean killed) {
        String joins = join();
        simulation.calm(SYNC_TIME);
        if (killed) {
            simulation.ask(old);
            simulation.rough(random.nextLong(SECOND / 10));
        } else {
            simulation.leave(old, GRACE);
        }
        simulation.remove(old);
        machines.set(machines.indexOf(old), joins);
        if (!killed && random.nextBoolean()) {
            loseMachines(); // the successor had time to sync, and the old one to hand over
        }
    }

    /** Loses as many machines as allowed, perhaps with a power loss of the others; checks that a read answers and restarts them. */
    private void loseMachines() {
        List<String> lost = new ArrayList<>();
        while (lost.size() < losses) {
            String one = randomMachine();
            if (!lost.contains(one)) {
                lost.add(one);
                simulation.lose(one);
            }
        }
        if (random.nextInt(3) == 0) {
            machines.stream().filter(ip -> !lost.contains(ip)).forEach(ip -> simulation.kill(ip, true));
            machines.stream().filter(ip -> !lost.contains(ip)).forEach(simulation::start);
        }
        if (simulation.readAnswers(READ_WITHIN) < 0) {
            throw new StoreSimulation.Violation("no read answers within 4 s after " + lost + " were lost");
        }
        lost.forEach(simulation::start);
        simulation.calm(SYNC_TIME);
    }

    /**
     * Checks that a read answers after a zone is lost for good.
     *
     * @param zones the zone of each machine; the first three are the members of the first start
     * @param lost the zone that is lost
     */
    public static Result zoneLost(List<String> zones, String lost, long seed, StoreDefect defect) {
        Map<String, Location> places = new HashMap<>();
        for (int i = 0; i < zones.size(); i++) {
            places.put("m" + (i + 1), new Location(zones.get(i), "r", true));
        }
        StoreSimulation simulation = new StoreSimulation(
                        3, zones.size() - 3, new FaultTolerance(1, 1, 0), places, seed, defect)
                .recordingEvents();
        try {
            MembershipCheck check = new MembershipCheck(simulation, 1, new SplittableRandom(seed));
            simulation.calm(SECOND);
            check.machines.forEach(simulation::start);
            simulation.calm(SYNC_TIME + 2 * SECOND);
            check.acknowledgeUpdate();
            for (int i = 0; i < zones.size(); i++) {
                if (zones.get(i).equals(lost)) {
                    simulation.remove("m" + (i + 1));
                }
            }
            if (simulation.readAnswers(READ_WITHIN) < 0) {
                throw new StoreSimulation.Violation("no read answers within 4 s after zone " + lost + " was lost");
            }
        } catch (StoreSimulation.Violation e) {
            return new Result(1, simulation.answered(), e.getMessage(), simulation.eventLog());
        }
        return new Result(1, simulation.answered(), null, List.of());
    }
}
