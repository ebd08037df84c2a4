package gorsemast.emulator;

import gorsemast.emulator.Cluster.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleBiFunction;

/**
 * Measures how the cost of a request over the whole tier grows with the number of proxies and nodes.
 *
 * <p>Each size is one run of a {@link Scenario} from one seed; an exponent belongs to the power law through the first and
 * the last size. Work that each proxy does by itself, without a bound over all proxies, has an exponent near 1.
 */
public final class Growth {
    /** A figure computed from a run and its number of proxies, with its column heading. */
    private record Figure(String name, ToDoubleBiFunction<RunResult, Integer> of) {}

    private static final List<Figure> FIGURES = List.of(
            new Figure("served before", (result, proxies) -> result.before()),
            new Figure("during", (result, proxies) -> result.during()),
            new Figure("after", (result, proxies) -> result.after()),
            new Figure(
                    "back, s",
                    (result, proxies) -> result.recoverySeconds() < 0 ? Double.NaN : result.recoverySeconds()),
            new Figure("attempts a request", (result, proxies) -> (double) result.attempts() / result.asked()),
            new Figure("fetches a request", (result, proxies) -> (double) result.fetches() / result.asked()),
            new Figure("fetches a key", (result, proxies) -> (double) result.fetches() / result.keysFetched()),
            new Figure("handshakes a request", (result, proxies) -> (double) result.handshakes() / result.asked()),
            new Figure(
                    "list calls a proxy and s",
                    (result, proxies) -> (double) result.listCalls() / proxies / Scenario.SECONDS),
            new Figure("fallen", (result, proxies) -> result.checker().fallen()));

    private Growth() {}

    /** Returns a Markdown table with a row for each size. */
    public static String table(Scenario scenario, List<Integer> proxies, List<Integer> nodes, long seed) {
        if (proxies.size() != nodes.size()) {
            throw new IllegalArgumentException(
                    "the number of proxy sizes must equal the number of node sizes: " + proxies + " and " + nodes);
        }
        StringBuilder s = new StringBuilder("| proxies | nodes |");
        FIGURES.forEach(figure -> s.append(' ').append(figure.name).append(" |"));
        s.append("\n|").append(" --- |".repeat(FIGURES.size() + 2)).append('\n');
        List<double[]> rows = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            int proxyCount = proxies.get(i);
            RunResult result = new Cluster(ClusterSettings.of(proxyCount, nodes.get(i), seed)).run(scenario);
            double[] row = FIGURES.stream()
                    .mapToDouble(figure -> figure.of.applyAsDouble(result, proxyCount))
                    .toArray();
            rows.add(row);
            s.append("| ").append(proxyCount).append(" | ").append(nodes.get(i)).append(" |");
            Arrays.stream(row).forEach(value -> s.append(String.format(Locale.ROOT, " %.3f |", value)));
            s.append('\n');
        }
        if (rows.size() > 1) {
            double[] first = rows.get(0);
            double[] last = rows.get(rows.size() - 1);
            double span = Math.log((double) proxies.get(proxies.size() - 1) / proxies.get(0));
            s.append("| exponent | |");
            for (int i = 0; i < first.length; i++) {
                double exponent = Math.log(last[i] / first[i]) / span;
                s.append(Double.isFinite(exponent) ? String.format(Locale.ROOT, " %.2f |", exponent) : " |");
            }
            s.append('\n');
        }
        return s.toString();
    }
}
