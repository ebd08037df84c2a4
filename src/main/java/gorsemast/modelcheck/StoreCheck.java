package gorsemast.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Checks scenarios of a {@link StoreSimulation}: random ones from a seed, and all sequences of a few events up to a depth.
 *
 * <p>The sequences start from a state in which a version is acknowledged; each is run from its beginning (stateless search,
 * Godefroid 1997), and what it leaves pending is completed and checked.
 */
public final class StoreCheck {
    /** The result; {@code violation} is null if none was found. */
    public record Result(long scenarios, long answered, String violation, List<String> eventLog) {}

    private StoreCheck() {}

    /** Runs random scenarios of {@code events} events each. */
    public static Result random(int members, int spares, long seed, int scenarios, int events, StoreDefect defect) {
        long answered = 0;
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int c = 0; c < scenarios; c++) {
            StoreSimulation simulation =
                    new StoreSimulation(members, spares, seeds.nextLong(), defect).recordingEvents();
            StoreScenarios course = new StoreScenarios(simulation);
            try {
                simulation.calm(1_500_000);
                for (int e = 0; e < events; e++) {
                    course.randomEvent();
                    if (e % 400 == 399) {
                        course.loseDiskAfterAcknowledgement();
                    } else if (e % 400 == 199) {
                        course.freezeDuringTakeover();
                    } else if (e % 400 == 99) {
                        course.outage();
                    } else if (e % 400 == 299) {
                        course.contend();
                    }
                }
                simulation.heal();
            } catch (StoreSimulation.Violation e) {
                return new Result(c + 1, answered, e.getMessage(), simulation.eventLog());
            }
            answered += simulation.answered();
        }
        return new Result(scenarios, answered, null, List.of());
    }

    /**
     * Runs one update a second while one disk completes no write for 20 s: all choices of the disk, of the operator's first
     * machine and of when in the first 300 ms the disk stalls. Each update has to be acknowledged in time.
     */
    public static Result stalled(int members, int spares, StoreDefect defect) {
        long scenarios = 0;
        long answered = 0;
        for (int disk = 1; disk <= members; disk++) {
            for (int entrance = 1; entrance <= members; entrance++) {
                for (long after = 0; after <= 300_000; after += 25_000) {
                    StoreSimulation simulation =
                            new StoreSimulation(members, spares, 7 + scenarios, defect).recordingEvents();
                    try {
                        simulation.calm(6_000_000);
                        simulation.put("m" + entrance, false);
                        simulation.calm(after);
                        simulation.stall("m" + disk, true);
                        for (int order = 0; order < 20; order++) {
                            simulation.update("m" + entrance);
                            simulation.calm(1_000_000);
                        }
                        simulation.heal();
                    } catch (StoreSimulation.Violation e) {
                        return new Result(scenarios + 1, answered, e.getMessage(), simulation.eventLog());
                    }
                    scenarios++;
                    answered += simulation.answered();
                }
            }
        }
        return new Result(scenarios, answered, null, List.of());
    }

    /**
     * So many changes, with one member without power for all of them and another one killed, frozen, stalled or without
     * power in each tenth. Then the first comes back, another loses its disk, all others lose power, and a read has to
     * answer with the last change.
     */
    public static Result away(int members, int spares, long seed, int scenarios, int changes, StoreDefect defect) {
        long answered = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (int c = 0; c < scenarios; c++) {
            StoreSimulation simulation =
                    new StoreSimulation(members, spares, random.nextLong(), defect).recordingEvents();
            try {
                simulation.calm(2_000_000);
                int away = random.nextInt(members);
                simulation.kill(simulation.machines().get(away), true);
                for (int change = 0; change < changes; change++) {
                    if (change % Math.max(1, changes / 10) == 3) {
                        disturb(
                                simulation,
                                simulation.machines().get((away + 1 + random.nextInt(members - 1)) % members),
                                random);
                    }
                    simulation.update(simulation.machines().get(random.nextInt(members)));
                }
                simulation.start(simulation.machines().get(away));
                simulation.calm(6_000_000);
                simulation.update(simulation.machines().get(away));
                new StoreScenarios(simulation)
                        .loseDiskAndPower(simulation.machines().get((away + random.nextInt(members)) % members));
                simulation.heal();
            } catch (StoreSimulation.Violation e) {
                return new Result(c + 1, answered, e.getMessage(), simulation.eventLog());
            }
            answered += simulation.answered();
        }
        return new Result(scenarios, answered, null, List.of());
    }

    private static void disturb(StoreSimulation simulation, String ip, SplittableRandom random) {
        int what = random.nextInt(4);
        simulation.put(ip, false);
        switch (what) {
            case 0 -> simulation.freeze(ip, true);
            case 1 -> simulation.stall(ip, true);
            default -> simulation.kill(ip, what == 2);
        }
        simulation.put(ip, false);
        simulation.calm(1_000_000 + random.nextLong(2_000_000));
        simulation.freeze(ip, false);
        simulation.stall(ip, false);
        simulation.start(ip);
        simulation.calm(2_000_000);
    }

    private interface Event {
        void happen(StoreSimulation simulation);
    }

    /** Runs all sequences of {@code depth} of these events. */
    public static Result all(int members, int depth, StoreDefect defect) {
        List<Event> events = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            String a = "m" + i;
            events.add(simulation -> simulation.kill(a, false));
            events.add(simulation -> simulation.kill(a, true));
            events.add(simulation -> simulation.start(a));
            events.add(simulation -> simulation.put(a, false));
            events.add(simulation -> simulation.freeze(a, true));
            events.add(simulation -> simulation.freeze(a, false));
        }
        events.add(simulation -> simulation.stall("m1", true));
        events.add(simulation -> simulation.stall("m2", true));
        events.add(simulation -> simulation.stall("m1", false));
        events.add(simulation -> simulation.cut("m1", "m2", true));
        events.add(simulation -> simulation.cut("m2", "m1", true));
        events.add(simulation -> simulation.cut("m1", "m2", false));
        events.add(simulation -> simulation.wipe("m1"));
        events.add(simulation -> simulation.wipe("m2"));
        events.add(simulation -> simulation.calm(100_000));
        events.add(simulation -> simulation.calm(1_000_000));
        return runSequences(members, depth, defect, events, simulation -> simulation.calm(25_000));
    }

    /**
     * Runs all sequences of operators' updates and delays: the same update to all at once, other contents under its number,
     * superseded updates, during a take-over and around a power loss of all. Nothing arrives between two events unless an
     * event says so.
     */
    public static Result orders(int members, int depth, StoreDefect defect) {
        List<Event> events = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            String a = "m" + i;
            events.add(simulation -> simulation.rival(a, 0));
            events.add(simulation -> simulation.again(a, 1));
            events.add(simulation -> simulation.kill(a, true));
        }
        events.add(simulation -> simulation.put("m1", false));
        events.add(simulation -> simulation.put("m2", false));
        events.add(simulation -> simulation.machines().forEach(ip -> simulation.again(ip, 0)));
        events.add(simulation -> simulation.machines().forEach(ip -> simulation.rival(ip, 0)));
        events.add(simulation -> simulation.rival("m3", 1));
        events.add(simulation -> simulation.isolate("m1", true));
        events.add(simulation -> simulation.isolate("m1", false));
        events.add(simulation -> simulation.breakLink("m1", "m2"));
        events.add(StoreSimulation::quiet);
        events.add(simulation -> simulation.calm(2_000_000));
        events.add(StoreSimulation::restartAll);
        return runSequences(members, depth, defect, events, simulation -> {});
    }

    private static Result runSequences(int members, int depth, StoreDefect defect, List<Event> events, Event between) {
        int[] sequence = new int[depth];
        long scenarios = 0;
        long answered = 0;
        while (true) {
            StoreSimulation simulation = new StoreSimulation(members, 0, 7, defect).recordingEvents();
            try {
                simulation.calm(6_000_000);
                simulation.put("m1", false);
                simulation.calm(100_000);
                for (int event : sequence) {
                    events.get(event).happen(simulation);
                    between.happen(simulation);
                }
                simulation.heal();
            } catch (StoreSimulation.Violation e) {
                return new Result(scenarios + 1, answered, e.getMessage(), simulation.eventLog());
            }
            scenarios++;
            answered += simulation.answered();
            int at = depth - 1;
            while (at >= 0 && ++sequence[at] == events.size()) {
                sequence[at--] = 0;
            }
            if (at < 0) {
                return new Result(scenarios, answered, null, List.of());
            }
        }
    }
}
