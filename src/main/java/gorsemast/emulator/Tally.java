package gorsemast.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Sums over the whole tier for each second, which no single process can see. O(seconds) memory.
 */
public final class Tally {
    /** Counters: outcomes for clients first, then attempts, then other activity of the tier. */
    public enum Count {
        ASKED,
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        LEFT,
        UNREACHED,
        RETRIED,
        ATTEMPTS,
        OK,
        FULL,
        ERROR,
        TIMEOUT,
        RESET,
        CONNECT_FAILED,
        NOT_SENT,
        FETCHES,
        CROSSED,
        HANDSHAKES,
        CONNECTS_FAILED,
        LIST_CALLS,
        LIST_FAILED,
        LIST_ANSWERS,
        PROXIES_WITH_LIST,
        TIME_UP,
        NO_SERVER,
        SPENT,
        OVER_SHARE,
        NO_ROOM,
        NO_BUDGET,
        SUSPECTS,
        LANE_MICROS
    }

    private static final long SECOND = 1_000_000;

    /** The sums of one second. */
    public static final class Row {
        private final long[] counts = new long[Count.values().length];
        private double worth;
        private double earned;

        /** Value of a counter. */
        public long count(Count counter) {
            return counts[counter.ordinal()];
        }

        /** Share of the value requested in this second that was served; late responses count at their reduced value. */
        public double share() {
            return worth == 0 ? 1 : earned / worth;
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private final long start;

    Tally(long start) {
        this.start = start;
    }

    private Row rowAt(long now) {
        int second = (int) ((now - start) / SECOND);
        while (rows.size() <= second) {
            rows.add(new Row());
        }
        return rows.get(second);
    }

    void add(long now, Count counter) {
        add(now, counter, 1);
    }

    void add(long now, Count counter, long amount) {
        rowAt(now).counts[counter.ordinal()] += amount;
    }

    void requested(long now, double worth) {
        add(now, Count.ASKED);
        rowAt(now).worth += worth;
    }

    /** {@code requested}: when the request was first made; its value counts in that second. */
    void served(long firstAt, double worth) {
        rowAt(firstAt).earned += worth;
    }

    /** The sums of each second since the start. */
    public List<Row> rows() {
        return rows;
    }

    /** Sum of a counter over a range of seconds. */
    public long sum(Count counter, int from, int to) {
        return rows.subList(Math.min(from, rows.size()), Math.min(to, rows.size())).stream()
                .mapToLong(row -> row.count(counter))
                .sum();
    }

    /** Share of the value requested in a range of seconds that was served. */
    public double share(int from, int to) {
        double worth = 0;
        double got = 0;
        for (Row row : rows.subList(Math.min(from, rows.size()), Math.min(to, rows.size()))) {
            worth += row.worth;
            got += row.earned;
        }
        return worth == 0 ? 1 : got / worth;
    }

    /** Returns a Markdown table of all seconds without columns that are zero throughout. */
    public String table() {
        List<Count> shown = new ArrayList<>();
        for (Count count : Count.values()) {
            if (rows.stream().anyMatch(row -> row.count(count) > 0)) {
                shown.add(count);
            }
        }
        StringBuilder s = new StringBuilder("| s | share |");
        shown.forEach(count -> s.append(' ')
                .append(count.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                .append(" |"));
        s.append("\n|").append(" --- |".repeat(shown.size() + 2)).append('\n');
        for (int i = 0; i < rows.size(); i++) {
            Row row = rows.get(i);
            s.append(String.format(Locale.ROOT, "| %d | %.2f |", i, row.share()));
            shown.forEach(count -> s.append(' ').append(row.count(count)).append(" |"));
            s.append('\n');
        }
        return s.toString();
    }
}
