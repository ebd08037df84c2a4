package gorsemast.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Sums over the whole tier, second by second: what one process can't see. O(seconds) memory.
 */
public final class Tally {
    /** What is counted. Client's ends first, then attempts, then what the tier does beside requests. */
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

    /** One second. */
    public static final class Row {
        private final long[] counts = new long[Count.values().length];
        private double worth;
        private double got;

        /** How often. */
        public long of(Count what) {
            return counts[what.ordinal()];
        }

        /** The part of the worth asked for in this second that was served, late answers with what they are worth. */
        public double share() {
            return worth == 0 ? 1 : got / worth;
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private final long start;

    Tally(long start) {
        this.start = start;
    }

    private Row at(long now) {
        int second = (int) ((now - start) / SECOND);
        while (rows.size() <= second) {
            rows.add(new Row());
        }
        return rows.get(second);
    }

    void add(long now, Count what) {
        add(now, what, 1);
    }

    void add(long now, Count what, long many) {
        at(now).counts[what.ordinal()] += many;
    }

    void asked(long now, double worth) {
        add(now, Count.ASKED);
        at(now).worth += worth;
    }

    /** {@code asked}: when it was asked first; the worth counts there. */
    void served(long asked, double worth) {
        at(asked).got += worth;
    }

    /** The seconds since the start. */
    public List<Row> rows() {
        return rows;
    }

    /** The sum over some seconds. */
    public long sum(Count what, int from, int to) {
        return rows.subList(Math.min(from, rows.size()), Math.min(to, rows.size())).stream()
                .mapToLong(row -> row.of(what))
                .sum();
    }

    /** The part of the worth asked for in these seconds that was served. */
    public double share(int from, int to) {
        double worth = 0;
        double got = 0;
        for (Row row : rows.subList(Math.min(from, rows.size()), Math.min(to, rows.size()))) {
            worth += row.worth;
            got += row.got;
        }
        return worth == 0 ? 1 : got / worth;
    }

    /** A table of all seconds, as Markdown; columns that are empty throughout are left out. */
    public String table() {
        List<Count> shown = new ArrayList<>();
        for (Count count : Count.values()) {
            if (rows.stream().anyMatch(row -> row.of(count) > 0)) {
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
            shown.forEach(count -> s.append(' ').append(row.of(count)).append(" |"));
            s.append('\n');
        }
        return s.toString();
    }
}
