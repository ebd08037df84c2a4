package gorsemast.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Checks scenarios of a {@link RegistrySimulation}: random ones from a seed, and all sequences of a number of events, each run
 * from the start to recovery.
 */
public final class RegistryCheck {
    private static final long STEP_MICROS = 700_000;
    private static final long LONG_MICROS = 2_700_000;
    private static final long CALM_MICROS = 4_500_000;

    /** The result; {@code violation} is null if none was found. */
    public record Result(long scenarios, long acknowledged, String violation, List<String> eventLog) {}

    private RegistryCheck() {}

    private static List<Consumer<RegistrySimulation>> events() {
        List<Consumer<RegistrySimulation>> events = new ArrayList<>();
        events.add(simulation -> simulation.purge("m1"));
        events.add(simulation -> simulation.purge("m2"));
        events.add(simulation -> simulation.purge("m4"));
        events.add(RegistrySimulation::configure);
        events.add(simulation -> simulation.purgeThenPowerLoss("m2", null));
        events.add(simulation -> simulation.purgeThenPowerLoss("m2", "m1"));
        events.add(RegistrySimulation::powerAll);
        events.add(simulation -> simulation.cut("m1", true));
        events.add(simulation -> simulation.cut("m1", false));
        events.add(simulation -> simulation.freeze("m1"));
        events.add(simulation -> simulation.wake("m1"));
        events.add(simulation -> simulation.lose("m1", true));
        events.add(simulation -> simulation.lose("m2", true));
        events.add(simulation -> simulation.lose("m1", false));
        events.add(simulation -> simulation.stall("m1", true));
        events.add(simulation -> simulation.stall("m1", false));
        events.add(simulation -> simulation.replace("m1"));
        events.add(simulation -> simulation.calm(LONG_MICROS));
        events.add(simulation -> simulation.calm(CALM_MICROS));
        return events;
    }

    /** Runs all sequences of {@code depth} events. */
    public static Result exhaustive(int depth, RegistryDefect defect) {
        List<Consumer<RegistrySimulation>> events = events();
        long sequences = Math.round(Math.pow(events.size(), depth));
        long acknowledged = 0;
        for (long sequence = 0; sequence < sequences; sequence++) {
            RegistrySimulation simulation = new RegistrySimulation(sequence, defect);
            try {
                simulation.calm(CALM_MICROS);
                long rest = sequence;
                for (int i = 0; i < depth; i++) {
                    events.get((int) (rest % events.size())).accept(simulation);
                    simulation.calm(STEP_MICROS);
                    rest /= events.size();
                }
                simulation.calm(LONG_MICROS);
                simulation.heal();
            } catch (RegistrySimulation.Violation e) {
                return new Result(sequence + 1, acknowledged, e.getMessage(), simulation.eventLog());
            }
            acknowledged += simulation.acknowledged();
        }
        return new Result(sequences, acknowledged, null, List.of());
    }

    /** Runs random scenarios of {@code length} events each, with faults on any machine. */
    public static Result random(long seed, int scenarios, int length, RegistryDefect defect) {
        SplittableRandom seeds = new SplittableRandom(seed);
        long acknowledged = 0;
        for (int c = 0; c < scenarios; c++) {
            SplittableRandom random = seeds.split();
            RegistrySimulation simulation = new RegistrySimulation(random.nextLong(), defect);
            try {
                simulation.calm(CALM_MICROS);
                for (int i = 0; i < length; i++) {
                    event(simulation, random);
                    simulation.calm(
                            random.nextInt(4) == 0 ? random.nextLong(CALM_MICROS) : random.nextLong(STEP_MICROS));
                }
                simulation.heal();
            } catch (RegistrySimulation.Violation e) {
                return new Result(c + 1, acknowledged, e.getMessage(), simulation.eventLog());
            }
            acknowledged += simulation.acknowledged();
        }
        return new Result(scenarios, acknowledged, null, List.of());
    }

    private static void event(RegistrySimulation simulation, SplittableRandom random) {
        String any = "m" + (1 + random.nextInt(4));
        switch (random.nextInt(18)) {
            case 0 -> simulation.cut(any, true);
            case 1 -> simulation.freeze(any);
            case 2 -> simulation.lose(any, true);
            case 3 -> simulation.lose(any, false);
            case 4 -> simulation.stall(any, true);
            case 5 -> simulation.powerAll();
            case 6 -> simulation.purgeThenPowerLoss(any, null);
            case 11 -> {
                removeFaults(simulation);
                simulation.calm(CALM_MICROS);
                simulation.purgeThenPowerLoss(any, random.nextBoolean() ? null : "m" + (1 + random.nextInt(4)));
            }
            case 12 -> {
                simulation.freeze(any);
                simulation.calm(random.nextLong(CALM_MICROS));
                simulation.purge("m" + (1 + random.nextInt(4)));
                simulation.configure();
                simulation.calm(random.nextLong(CALM_MICROS));
                simulation.wake(any);
            }
            case 7 -> simulation.configure();
            case 8 -> simulation.replace(any);
            case 9, 10 -> removeFaults(simulation);
            default -> simulation.purge(any);
        }
    }

    private static void removeFaults(RegistrySimulation simulation) {
        for (int i = 1; i <= 4; i++) {
            simulation.cut("m" + i, false);
            simulation.wake("m" + i);
            simulation.stall("m" + i, false);
        }
    }
}
