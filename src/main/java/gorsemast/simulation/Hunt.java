package gorsemast.simulation;

import gorsemast.logging.Log;
import gorsemast.simulation.Trouble.Closing;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Draws days, looks for broken rules, and cuts a broken day down to the troubles that it takes (delta debugging by
 * halves, then ever smaller parts, Zeller 1999).
 */
public final class Hunt {
    /** A broken day, cut down. */
    public record Found(Day day, Broken broken, List<String> story) {}

    /** What a hunt came to. */
    public record Result(int days, List<Found> found, List<Outcome> outcomes) {}

    private Hunt() {}

    /**
     * Plays so many days from a seed on, on all processors; ends soon after {@code most} broken ones. While it runs, what
     * parts write to their logs goes nowhere.
     */
    public static Result run(int cores, int edges, long seed, int days, Plant plant, int most) {
        return run(number -> Day.drawn(cores, edges, seed + number), days, plant, most);
    }

    /** The same with days of one's own, by number. */
    public static Result run(IntFunction<Day> all, int days, Plant plant, int most) {
        Log.redirect(line -> {});
        try {
            AtomicInteger broken = new AtomicInteger();
            List<Object> ends = IntStream.range(0, days)
                    .parallel()
                    .mapToObj(number -> {
                        if (broken.get() >= most) {
                            return null;
                        }
                        Day day = all.apply(number);
                        try {
                            return day.play(plant);
                        } catch (Broken e) {
                            broken.incrementAndGet();
                            return new Found(day, e, List.of());
                        }
                    })
                    .filter(Objects::nonNull)
                    .map(Object.class::cast)
                    .toList();
            List<Found> found = ends.stream()
                    .filter(Found.class::isInstance)
                    .map(Found.class::cast)
                    .toList();
            return new Result(
                    ends.size(),
                    found,
                    ends.stream()
                            .filter(Outcome.class::isInstance)
                            .map(Outcome.class::cast)
                            .toList());
        } finally {
            Log.redirect(null);
        }
    }

    /** A broken day with no more troubles than it takes, and its story. */
    public static Found shortest(Found found, Plant plant) {
        Log.redirect(line -> {});
        try {
            return shrink(found.day, found.broken, plant);
        } finally {
            Log.redirect(null);
        }
    }

    private static Found shrink(Day day, Broken first, Plant plant) {
        Day least = day;
        Broken broken = first;
        for (int part = Math.max(1, day.troubles().size() / 2); part > 0; part /= 2) {
            for (int i = least.troubles().size() - part; i > -part; i -= part) {
                List<Trouble> fewer = new ArrayList<>(least.troubles());
                fewer.subList(Math.max(0, i), i + part).clear();
                Day shorter = least.with(fewer, least.closing());
                Broken still = broken(shorter, plant);
                if (still != null && still.rule().equals(broken.rule())) {
                    least = shorter;
                    broken = still;
                }
            }
        }
        Day unclosed = least.with(least.troubles(), Closing.NONE);
        Broken still = broken(unclosed, plant);
        if (still != null && still.rule().equals(broken.rule())) {
            least = unclosed;
            broken = still;
        }
        List<String> story = new ArrayList<>();
        try {
            least.play(plant, story);
        } catch (Broken e) {
            story.add(e.getMessage());
        }
        return new Found(least, broken, story);
    }

    private static Broken broken(Day day, Plant plant) {
        try {
            day.play(plant);
            return null;
        } catch (Broken e) {
            return e;
        }
    }
}
