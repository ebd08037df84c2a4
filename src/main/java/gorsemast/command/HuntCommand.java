package gorsemast.command;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Fault;
import gorsemast.simulation.InjectedDefect;
import gorsemast.simulation.Outcome;
import gorsemast.simulation.Scenario;
import gorsemast.simulation.ScenarioSearch;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.IntFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Searches random scenarios of a whole network in virtual time for violated rules. */
@Command(
        name = "hunt",
        description =
                "Runs random scenarios of the whole network in virtual time: the decisions of all three programs, "
                        + "with simulated machines, disks, links, servers, operators and clients. A failing scenario is minimized and printed as a "
                        + "test. Exits with 1 if a rule is violated.")
final class HuntCommand implements Callable<Integer> {
    private static final int MIN_SECONDS = 24;
    private static final int MAX_SECONDS = 3_600;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--days",
            defaultValue = "100",
            paramLabel = "N",
            description = "Scenarios to run (${DEFAULT-VALUE}).")
    private int days;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "Seed of the first scenario; each further one has the next seed.")
    private long seed;

    @Option(
            names = "--cores",
            defaultValue = "3",
            paramLabel = "N",
            description = "Core machines, 3 to 9 (${DEFAULT-VALUE}).")
    private int cores;

    @Option(
            names = "--edges",
            defaultValue = "4",
            paramLabel = "N",
            description = "Edges, 1 to 500 (${DEFAULT-VALUE}).")
    private int edges;

    @Option(
            names = "--plant",
            defaultValue = "NONE",
            paramLabel = "DEFECT",
            description = "One of ${COMPLETION-CANDIDATES}.")
    private InjectedDefect plant;

    @Option(
            names = "--most",
            defaultValue = "3",
            paramLabel = "N",
            description = "Stops soon after this many failing scenarios (${DEFAULT-VALUE}).")
    private int most;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            paramLabel = "N",
            description =
                    "Long scenarios of this many seconds, with hundreds of changes (${DEFAULT-VALUE}: normal scenarios).")
    private int seconds;

    @Option(
            names = "--losses",
            defaultValue = "1",
            paramLabel = "N",
            description = "Core machines that may be lost at once, less than half of them (${DEFAULT-VALUE}).")
    private int losses;

    @Option(names = "--pressed", description = "Scenarios with continuous commands and repeated faults of the core.")
    private boolean pressed;

    @Option(
            names = "--without",
            split = ",",
            paramLabel = "KIND",
            description = "Kinds of faults to leave out: ${COMPLETION-CANDIDATES}.")
    private Set<Fault.Kind> without = EnumSet.noneOf(Fault.Kind.class);

    @Override
    public Integer call() {
        if (days < 1
                || cores < 3
                || cores > 9
                || edges < 1
                || edges > 500
                || most < 1
                || losses < 1
                || 2 * losses >= cores
                || seconds != 0 && (seconds < MIN_SECONDS || seconds > MAX_SECONDS)) {
            throw Gorsemast.usage(
                    spec,
                    "--days, --most and --losses from 1, twice --losses below --cores, --cores from 3 to 9, --edges from 1 to 500, --seconds 0 or "
                            + MIN_SECONDS + " to " + MAX_SECONDS);
        }
        NettyLog.install();
        IntFunction<Scenario> all = number -> (pressed
                        ? Scenario.generateIntense(cores, edges, seed + number)
                        : seconds > 0
                                ? Scenario.generate(cores, edges, seed + number, seconds)
                                : Scenario.generate(cores, edges, seed + number))
                .withoutFaults(without)
                .withTolerableLosses(losses);
        ScenarioSearch.Result result = ScenarioSearch.run(all, days, plant, most);
        for (ScenarioSearch.Failure broken : result.failures()) {
            ScenarioSearch.Failure least = ScenarioSearch.minimize(broken, plant);
            least.eventLog().forEach(System.out::println);
            System.out.println(least.scenario().toTestCode());
            System.out.println();
        }
        List<Outcome> outcomes = result.outcomes();
        System.out.printf(
                Locale.ROOT,
                "%d days, %d broken%n",
                result.runs(),
                result.failures().size());
        Map<String, List<Long>> times = new TreeMap<>();
        outcomes.forEach(
                day -> day.times().forEach((what, took) -> times.computeIfAbsent(what, name -> new ArrayList<>())
                        .addAll(took)));
        times.forEach((what, took) -> System.out.println(what + ": " + spread(took)));
        if (!outcomes.isEmpty()) {
            System.out.printf(
                    Locale.ROOT,
                    "of requests %.3f are held to a bound of time%n",
                    outcomes.stream().mapToInt(Outcome::timeBound).sum()
                            / (double)
                                    outcomes.stream().mapToInt(Outcome::checked).sum());
            System.out.printf(
                    Locale.ROOT,
                    "an edge sends %.0f bytes and %.1f records a second%n",
                    outcomes.stream().mapToDouble(Outcome::edgeBytes).average().orElse(0),
                    outcomes.stream()
                            .mapToDouble(Outcome::edgeRecords)
                            .average()
                            .orElse(0));
        }
        return result.failures().isEmpty() ? Gorsemast.DONE : Gorsemast.FAILED;
    }

    private static String spread(List<Long> took) {
        List<Long> sorted = took.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "median %.3f s, 99 in 100 within %.3f s, worst %.3f s of %d",
                sorted.get(sorted.size() / 2) / 1e6,
                sorted.get(sorted.size() * 99 / 100) / 1e6,
                sorted.get(sorted.size() - 1) / 1e6,
                sorted.size());
    }
}
