package gorsemast.emulator;

import gorsemast.emulator.Cluster.Result;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleBiFunction;

/**
 * How what the whole tier does for a request grows with the number of proxies and of nodes.
 *
 * <p>Each size is one run of a {@link Scenario} from one seed; an exponent is that of the power law through the first and the
 * last size. What each proxy does alone and nobody bounds over all has an exponent near 1 a proxy.
 */
public final class Growth {
    /** A figure of a run with so many proxies, by its heading. */
    private record Figure(String name, ToDoubleBiFunction<Result, Integer> of) {}

    private static final List<Figure> FIGURES = List.of(
            new Figure("served before", (result, proxies) -> result.before()),
            new Figure("during", (result, proxies) -> result.during()),
            new Figure("after", (result, proxies) -> result.after()),
            new Figure("back, s", (result, proxies) -> result.back() < 0 ? Double.NaN : result.back()),
            new Figure("attempts a request", (result, proxies) -> (double) result.attempts() / result.asked()),
            new Figure("fetches a request", (result, proxies) -> (double) result.fetches() / result.asked()),
            new Figure("fetches a key", (result, proxies) -> (double) result.fetches() / result.keysFetched()),
            new Figure("handshakes a request", (result, proxies) -> (double) result.handshakes() / result.asked()),
            new Figure(
                    "list calls a proxy and s",
                    (result, proxies) -> (double) result.listCalls() / proxies / Day.SECONDS),
            new Figure("fallen", (result, proxies) -> result.referee().fallen()));

    private Growth() {}

    /** The table, as Markdown, a row for each size. */
    public static String table(Day day, List<Integer> proxies, List<Integer> nodes, long seed) {
        if (proxies.size() != nodes.size()) {
            throw new IllegalArgumentException(
                    "as many sizes of proxies as of nodes, not " + proxies + " and " + nodes);
        }
        StringBuilder s = new StringBuilder("| proxies | nodes |");
        FIGURES.forEach(figure -> s.append(' ').append(figure.name).append(" |"));
        s.append("\n|").append(" --- |".repeat(FIGURES.size() + 2)).append('\n');
        List<double[]> rows = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            int many = proxies.get(i);
            Result result = new Cluster(ClusterSettings.of(many, nodes.get(i), seed)).play(day);
            double[] row = FIGURES.stream()
                    .mapToDouble(figure -> figure.of.applyAsDouble(result, many))
                    .toArray();
            rows.add(row);
            s.append("| ").append(many).append(" | ").append(nodes.get(i)).append(" |");
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
