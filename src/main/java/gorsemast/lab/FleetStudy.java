package gorsemast.lab;

import gorsemast.fleet.FleetSettings;
import gorsemast.fleet.Message;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToIntFunction;

/**
 * Measures the cost and convergence time of the fleet view for up to a thousand members, with and without Lifeguard.
 *
 * <p>Each figure is measured in virtual time from one seed and is therefore reproducible; medians are over
 * {@value #REPEATS} seeds. Times in protocol periods.
 */
public final class FleetStudy {
    private static final long PERIOD = 1_000_000;
    private static final int REPEATS = 5;
    private static final long TIMEOUT = 400 * PERIOD;

    /**
     * @param firstSuspicion periods from a crash without refusals to the first suspicion
     * @param agreed periods until all agree on it
     * @param joined periods until all know a new member
     * @param messages datagrams that a member sends per quiet period
     * @param bytes size of those datagrams
     * @param falselyDead live members reported dead, summed over views, in a minute with a fifth of all datagrams lost and one
     *     member in ten slow as a whole
     * @param suspicions suspicions seen at the end of each second of that minute, summed over views
     */
    public record Row(
            int members,
            boolean lifeguard,
            double firstSuspicion,
            double agreed,
            double joined,
            double messages,
            double bytes,
            double falselyDead,
            double suspicions) {}

    private final ToIntFunction<Message> sizes;

    /** Creates a study; {@code sizes} gives the size of a message on the wire in bytes. */
    public FleetStudy(ToIntFunction<Message> sizes) {
        this.sizes = sizes;
    }

    /** Measures one row for a fleet of that size. */
    public Row row(int members, boolean lifeguard) {
        FleetSettings settings =
                lifeguard ? FleetSettings.of(PERIOD) : FleetSettings.of(PERIOD).plain();
        double[][] figures = new double[7][REPEATS];
        int repeats = members > 300 ? 1 : REPEATS;
        for (int seed = 0; seed < repeats; seed++) {
            VirtualFleet fleet = new VirtualFleet(members + 1, settings, 1_000L * members + seed, sizes);
            for (int i = 0; i < members; i++) {
                fleet.machine(i).start(0, 1, 2);
            }
            fleet.await(TIMEOUT, VirtualFleet::agree);
            fleet.run(40 * PERIOD);
            long messages = fleet.messages();
            long bytes = fleet.bytes();
            fleet.run(20 * PERIOD);
            figures[3][seed] = (fleet.messages() - messages) / 20.0 / members;
            figures[4][seed] = (fleet.bytes() - bytes) / 20.0 / members;
            fleet.machine(members).start(0, 1, 2);
            figures[2][seed] = periods(fleet.await(TIMEOUT, VirtualFleet::agree));
            fleet.machine(members).kill(true);
            figures[0][seed] = periods(fleet.await(TIMEOUT, f -> f.suspicions() > 0));
            figures[1][seed] = figures[0][seed] + periods(fleet.await(TIMEOUT, VirtualFleet::agree));
            if (members <= 300) {
                measureUnderLoss(fleet, figures, seed);
            }
        }
        double[] medians = Arrays.stream(figures)
                .mapToDouble(f -> median(Arrays.copyOf(f, repeats)))
                .toArray();
        return new Row(
                members, lifeguard, medians[0], medians[1], medians[2], medians[3], medians[4], medians[5], medians[6]);
    }

    private static void measureUnderLoss(VirtualFleet fleet, double[][] figures, int seed) {
        fleet.lose(0.2, 0.05);
        for (int i = 0; i < fleet.machines().size() - 1; i += 10) {
            fleet.machine(i).slow(700_000);
        }
        for (int second = 0; second < 60; second++) {
            fleet.run(PERIOD);
            figures[5][seed] += fleet.falselyDead();
            figures[6][seed] += fleet.suspicions();
        }
    }

    private static double periods(long micros) {
        return micros < 0 ? Double.NaN : (double) micros / PERIOD;
    }

    private static double median(double[] of) {
        Arrays.sort(of);
        return of[of.length / 2];
    }

    /** Measures the rows for these sizes, with and without Lifeguard. */
    public List<Row> rows(List<Integer> sizes) {
        List<Row> rows = new ArrayList<>();
        for (int size : sizes) {
            rows.add(row(size, true));
            rows.add(row(size, false));
        }
        return rows;
    }

    /** Returns a Markdown table that ends with the growth exponent of each figure. */
    public static String table(List<Row> rows) {
        StringBuilder s = new StringBuilder("| members | | first suspicion | agreed | join known | datagrams | bytes | "
                + "falsely dead | suspicions |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Row row : rows) {
            s.append(String.format(
                    Locale.ROOT,
                    "| %d | %s | %.1f | %.1f | %.1f | %.2f | %.0f | %.0f | %.0f |%n",
                    row.members,
                    row.lifeguard ? "with" : "without",
                    row.firstSuspicion,
                    row.agreed,
                    row.joined,
                    row.messages,
                    row.bytes,
                    row.falselyDead,
                    row.suspicions));
        }
        Row first = rows.get(0);
        Row last = rows.get(rows.size() - 2);
        s.append(String.format(
                Locale.ROOT,
                "exponents with Lifeguard, from %d to %d members: agreed %.2f, join %.2f, "
                        + "datagrams %.2f, bytes %.2f%n",
                first.members,
                last.members,
                exponent(first, last, first.agreed, last.agreed),
                exponent(first, last, first.joined, last.joined),
                exponent(first, last, first.messages, last.messages),
                exponent(first, last, first.bytes, last.bytes)));
        return s.toString();
    }

    /** Plots the growth of times and traffic with the fleet, both axes logarithmic. */
    public static Plot plot(List<Row> rows) {
        List<Row> with = rows.stream().filter(Row::lifeguard).toList();
        double[] sizes = with.stream().mapToDouble(Row::members).toArray();
        return new Plot("The fleet's view in virtual time", "members", "periods, or datagrams a period", sizes)
                .line(
                        "all agree on a crash that nobody proves",
                        with.stream().mapToDouble(Row::agreed).toArray())
                .line(
                        "first suspicion",
                        with.stream().mapToDouble(Row::firstSuspicion).toArray())
                .line(
                        "a join is known to all",
                        with.stream().mapToDouble(Row::joined).toArray())
                .line(
                        "datagrams a member and period",
                        with.stream().mapToDouble(Row::messages).toArray());
    }

    private static double exponent(Row first, Row last, double from, double to) {
        return Math.log(to / from) / Math.log((double) last.members / first.members);
    }
}
