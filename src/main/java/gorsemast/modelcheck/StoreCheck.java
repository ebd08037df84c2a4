package gorsemast.modelcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Courses of a {@link StoreWorld}: drawn ones from a seed, and all orders of a few events up to a depth.
 *
 * <p>All orders are played from a state in which a version is acknowledged, by playing each row of events from its
 * beginning (stateless search, Godefroid 1997); what a row leaves undone is brought to its end and judged.
 */
public final class StoreCheck {
    /** What was found: null for nothing, else what was broken, and how. */
    public record Result(long courses, long answered, String broken, List<String> story) {}

    private StoreCheck() {}

    /** Drawn courses of so many events each. */
    public static Result drawn(int members, int spares, long seed, int courses, int events, Plant plant) {
        long answered = 0;
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int c = 0; c < courses; c++) {
            StoreWorld world = new StoreWorld(members, spares, seeds.nextLong(), plant).telling();
            StoreCourses course = new StoreCourses(world);
            try {
                world.calm(1_500_000);
                for (int e = 0; e < events; e++) {
                    course.drawn();
                    if (e % 400 == 399) {
                        course.strike();
                    } else if (e % 400 == 199) {
                        course.sleep();
                    } else if (e % 400 == 99) {
                        course.outage();
                    } else if (e % 400 == 299) {
                        course.contend();
                    }
                }
                world.heal();
            } catch (StoreWorld.Broken e) {
                return new Result(c + 1, answered, e.getMessage(), world.story());
            }
            answered += world.answered();
        }
        return new Result(courses, answered, null, List.of());
    }

    /**
     * Orders, one a second, while one disk ends nothing for 20 s: all choices of the disk, of the machine that the operator
     * begins with and of when in the first 300 ms the disk stalls. Each order has to be acknowledged in time.
     */
    public static Result stalled(int members, int spares, Plant plant) {
        long courses = 0;
        long answered = 0;
        for (int disk = 1; disk <= members; disk++) {
            for (int entrance = 1; entrance <= members; entrance++) {
                for (long after = 0; after <= 300_000; after += 25_000) {
                    StoreWorld world = new StoreWorld(members, spares, 7 + courses, plant).telling();
                    try {
                        world.calm(6_000_000);
                        world.put("m" + entrance, false);
                        world.calm(after);
                        world.stall("m" + disk, true);
                        for (int order = 0; order < 20; order++) {
                            world.order("m" + entrance);
                            world.calm(1_000_000);
                        }
                        world.heal();
                    } catch (StoreWorld.Broken e) {
                        return new Result(courses + 1, answered, e.getMessage(), world.story());
                    }
                    courses++;
                    answered += world.answered();
                }
            }
        }
        return new Result(courses, answered, null, List.of());
    }

    /**
     * So many changes, with one member without power for all of them and another one killed, frozen, stalled or without
     * power in each tenth. Then the first comes back, another loses its disk, all others lose power, and a read has to
     * answer with the last change.
     */
    public static Result away(int members, int spares, long seed, int courses, int changes, Plant plant) {
        long answered = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (int c = 0; c < courses; c++) {
            StoreWorld world = new StoreWorld(members, spares, random.nextLong(), plant).telling();
            try {
                world.calm(2_000_000);
                int away = random.nextInt(members);
                world.kill(world.machines().get(away), true);
                for (int change = 0; change < changes; change++) {
                    if (change % Math.max(1, changes / 10) == 3) {
                        trouble(
                                world,
                                world.machines().get((away + 1 + random.nextInt(members - 1)) % members),
                                random);
                    }
                    world.order(world.machines().get(random.nextInt(members)));
                }
                world.start(world.machines().get(away));
                world.calm(6_000_000);
                world.order(world.machines().get(away));
                new StoreCourses(world).strikeAll(world.machines().get((away + random.nextInt(members)) % members));
                world.heal();
            } catch (StoreWorld.Broken e) {
                return new Result(c + 1, answered, e.getMessage(), world.story());
            }
            answered += world.answered();
        }
        return new Result(courses, answered, null, List.of());
    }

    private static void trouble(StoreWorld world, String ip, SplittableRandom random) {
        int what = random.nextInt(4);
        world.put(ip, false);
        switch (what) {
            case 0 -> world.freeze(ip, true);
            case 1 -> world.stall(ip, true);
            default -> world.kill(ip, what == 2);
        }
        world.put(ip, false);
        world.calm(1_000_000 + random.nextLong(2_000_000));
        world.freeze(ip, false);
        world.stall(ip, false);
        world.start(ip);
        world.calm(2_000_000);
    }

    private interface Event {
        void happen(StoreWorld world);
    }

    /** All orders of these events, so many in a row. */
    public static Result all(int members, int depth, Plant plant) {
        List<Event> events = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            String a = "m" + i;
            events.add(world -> world.kill(a, false));
            events.add(world -> world.kill(a, true));
            events.add(world -> world.start(a));
            events.add(world -> world.put(a, false));
            events.add(world -> world.freeze(a, true));
            events.add(world -> world.freeze(a, false));
        }
        events.add(world -> world.stall("m1", true));
        events.add(world -> world.stall("m2", true));
        events.add(world -> world.stall("m1", false));
        events.add(world -> world.cut("m1", "m2", true));
        events.add(world -> world.cut("m2", "m1", true));
        events.add(world -> world.cut("m1", "m2", false));
        events.add(world -> world.wipe("m1"));
        events.add(world -> world.wipe("m2"));
        events.add(world -> world.calm(100_000));
        events.add(world -> world.calm(1_000_000));
        return rows(members, depth, plant, events, world -> world.calm(25_000));
    }

    /**
     * All orders of what operators send and of what holds it up: the same order to all at once, other contents under its
     * number, orders that were overtaken, in a take-over and round a loss of power of all. Nothing arrives between two
     * events unless an event says so.
     */
    public static Result orders(int members, int depth, Plant plant) {
        List<Event> events = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            String a = "m" + i;
            events.add(world -> world.rival(a, 0));
            events.add(world -> world.again(a, 1));
            events.add(world -> world.kill(a, true));
        }
        events.add(world -> world.put("m1", false));
        events.add(world -> world.put("m2", false));
        events.add(world -> world.machines().forEach(ip -> world.again(ip, 0)));
        events.add(world -> world.machines().forEach(ip -> world.rival(ip, 0)));
        events.add(world -> world.rival("m3", 1));
        events.add(world -> world.isolate("m1", true));
        events.add(world -> world.isolate("m1", false));
        events.add(world -> world.breakLink("m1", "m2"));
        events.add(StoreWorld::quiet);
        events.add(world -> world.calm(2_000_000));
        events.add(StoreWorld::restartAll);
        return rows(members, depth, plant, events, world -> {});
    }

    private static Result rows(int members, int depth, Plant plant, List<Event> events, Event between) {
        int[] row = new int[depth];
        long courses = 0;
        long answered = 0;
        while (true) {
            StoreWorld world = new StoreWorld(members, 0, 7, plant).telling();
            try {
                world.calm(6_000_000);
                world.put("m1", false);
                world.calm(100_000);
                for (int event : row) {
                    events.get(event).happen(world);
                    between.happen(world);
                }
                world.heal();
            } catch (StoreWorld.Broken e) {
                return new Result(courses + 1, answered, e.getMessage(), world.story());
            }
            courses++;
            answered += world.answered();
            int at = depth - 1;
            while (at >= 0 && ++row[at] == events.size()) {
                row[at--] = 0;
            }
            if (at < 0) {
                return new Result(courses, answered, null, List.of());
            }
        }
    }
}
