package gorsemast.simulation;

import gorsemast.logging.Log;
import gorsemast.simulation.Fault.Closing;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Searches random scenarios for rule violations and minimizes a failing one to the faults that it needs (delta debugging by
 * halves, then ever smaller parts, Zeller 1999).
 */
public final class ScenarioSearch {
    /** A failing scenario with its violation. */
    public record Failure(Scenario scenario, Violation violation, List<String> eventLog) {}

    /** The result of a search. */
    public record Result(int runs, List<Failure> failures, List<Outcome> outcomes) {}

    private ScenarioSearch() {}

    /**
     * Runs random scenarios from a seed on, on all processors, until soon after {@code most} have failed. Log output is
     * discarded meanwhile.
     */
    public static Result run(int cores, int edges, long seed, int days, InjectedDefect defect, int most) {
        return run(number -> Scenario.generate(cores, edges, seed + number), days, defect, most);
    }

    /** Runs scenarios given by number. */
    public static Result run(IntFunction<Scenario> all, int days, InjectedDefect defect, int most) {
        Log.redirect(line -> {});
        try {
            AtomicInteger broken = new AtomicInteger();
            List<Object> ends = IntStream.range(0, days)
                    .parallel()
                    .mapToObj(number -> {
                        if (broken.get() >= most) {
                            return null;
                        }
                        Scenario scenario = all.apply(number);
                        try {
                            return scenario.run(defect);
                        } catch (Violation e) {
                            broken.incrementAndGet();
                            return new Failure(scenario, e, List.of());
                        }
                    })
                    .filter(Objects::nonNull)
                    .map(Object.class::cast)
                    .toList();
            List<Failure> found = ends.stream()
                    .filter(Failure.class::isInstance)
                    .map(Failure.class::cast)
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

    /** Minimizes a failing scenario to the faults that it needs and records its events. */
    public static Failure minimize(Failure found, InjectedDefect defect) {
        Log.redirect(line -> {});
        try {
            return shrink(found.scenario, found.violation, defect);
        } finally {
            Log.redirect(null);
        }
    }

    private static Failure shrink(Scenario scenario, Violation first, InjectedDefect defect) {
        Scenario least = scenario;
        Violation broken = first;
        for (int part = Math.max(1, scenario.faults().size() / 2); part > 0; part /= 2) {
            for (int i = least.faults().size() - part; i > -part; i -= part) {
                List<Fault> fewer = new ArrayList<>(least.faults());
                fewer.subList(Math.max(0, i), i + part).clear();
                Scenario shorter = least.withFaults(fewer, least.closing());
                Violation still = violationOf(shorter, defect);
                if (still != null && still.rule().equals(broken.rule())) {
                    least = shorter;
                    broken = still;
                }
            }
        }
        Scenario unclosed = least.withFaults(least.faults(), Closing.NONE);
        Violation still = violationOf(unclosed, defect);
        if (still != null && still.rule().equals(broken.rule())) {
            least = unclosed;
            broken = still;
        }
        List<String> eventLog = new ArrayList<>();
        try {
            least.run(defect, eventLog);
        } catch (Violation e) {
            eventLog.add(e.getMessage());
        }
        return new Failure(least, broken, eventLog);
    }

    private static Violation violationOf(Scenario scenario, InjectedDefect defect) {
        try {
            scenario.run(defect);
            return null;
        } catch (Violation e) {
            return e;
        }
    }
}
