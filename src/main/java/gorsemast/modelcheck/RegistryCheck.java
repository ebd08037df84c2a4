package gorsemast.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Courses of a {@link RegistryWorld}: drawn ones from a seed, and all rows of so many events, each played from its
 * beginning and brought to its end.
 */
public final class RegistryCheck {
    private static final long STEP_MICROS = 700_000;
    private static final long LONG_MICROS = 2_700_000;
    private static final long CALM_MICROS = 4_500_000;

    /** What was found: null for nothing, else what was broken, and how. */
    public record Result(long courses, long acknowledged, String broken, List<String> story) {}

    private RegistryCheck() {}

    private static List<Consumer<RegistryWorld>> events() {
        List<Consumer<RegistryWorld>> events = new ArrayList<>();
        events.add(world -> world.order("m1"));
        events.add(world -> world.order("m2"));
        events.add(world -> world.order("m4"));
        events.add(RegistryWorld::configure);
        events.add(world -> world.orderThenPower("m2", null));
        events.add(world -> world.orderThenPower("m2", "m1"));
        events.add(RegistryWorld::powerAll);
        events.add(world -> world.cut("m1", true));
        events.add(world -> world.cut("m1", false));
        events.add(world -> world.freeze("m1"));
        events.add(world -> world.wake("m1"));
        events.add(world -> world.lose("m1", true));
        events.add(world -> world.lose("m2", true));
        events.add(world -> world.lose("m1", false));
        events.add(world -> world.stall("m1", true));
        events.add(world -> world.stall("m1", false));
        events.add(world -> world.replace("m1"));
        events.add(world -> world.calm(LONG_MICROS));
        events.add(world -> world.calm(CALM_MICROS));
        return events;
    }

    /** All rows of so many events. */
    public static Result all(int depth, RegistryPlant plant) {
        List<Consumer<RegistryWorld>> events = events();
        long rows = Math.round(Math.pow(events.size(), depth));
        long acknowledged = 0;
        for (long row = 0; row < rows; row++) {
            RegistryWorld world = new RegistryWorld(row, plant);
            try {
                world.calm(CALM_MICROS);
                long rest = row;
                for (int i = 0; i < depth; i++) {
                    events.get((int) (rest % events.size())).accept(world);
                    world.calm(STEP_MICROS);
                    rest /= events.size();
                }
                world.calm(LONG_MICROS);
                world.heal();
            } catch (RegistryWorld.Broken e) {
                return new Result(row + 1, acknowledged, e.getMessage(), world.story());
            }
            acknowledged += world.acknowledged();
        }
        return new Result(rows, acknowledged, null, List.of());
    }

    /** Drawn courses of so many events each, any machine struck. */
    public static Result drawn(long seed, int courses, int length, RegistryPlant plant) {
        SplittableRandom seeds = new SplittableRandom(seed);
        long acknowledged = 0;
        for (int c = 0; c < courses; c++) {
            SplittableRandom random = seeds.split();
            RegistryWorld world = new RegistryWorld(random.nextLong(), plant);
            try {
                world.calm(CALM_MICROS);
                for (int i = 0; i < length; i++) {
                    event(world, random);
                    world.calm(random.nextInt(4) == 0 ? random.nextLong(CALM_MICROS) : random.nextLong(STEP_MICROS));
                }
                world.heal();
            } catch (RegistryWorld.Broken e) {
                return new Result(c + 1, acknowledged, e.getMessage(), world.story());
            }
            acknowledged += world.acknowledged();
        }
        return new Result(courses, acknowledged, null, List.of());
    }

    private static void event(RegistryWorld world, SplittableRandom random) {
        String any = "m" + (1 + random.nextInt(4));
        switch (random.nextInt(18)) {
            case 0 -> world.cut(any, true);
            case 1 -> world.freeze(any);
            case 2 -> world.lose(any, true);
            case 3 -> world.lose(any, false);
            case 4 -> world.stall(any, true);
            case 5 -> world.powerAll();
            case 6 -> world.orderThenPower(any, null);
            case 11 -> {
                well(world);
                world.calm(CALM_MICROS);
                world.orderThenPower(any, random.nextBoolean() ? null : "m" + (1 + random.nextInt(4)));
            }
            case 12 -> {
                world.freeze(any);
                world.calm(random.nextLong(CALM_MICROS));
                world.order("m" + (1 + random.nextInt(4)));
                world.configure();
                world.calm(random.nextLong(CALM_MICROS));
                world.wake(any);
            }
            case 7 -> world.configure();
            case 8 -> world.replace(any);
            case 9, 10 -> well(world);
            default -> world.order(any);
        }
    }

    private static void well(RegistryWorld world) {
        for (int i = 1; i <= 4; i++) {
            world.cut("m" + i, false);
            world.wake("m" + i);
            world.stall("m" + i, false);
        }
    }
}
