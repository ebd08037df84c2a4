package gorsemast.observe;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of the requests of each class since the process began, as counters that only grow: whoever misses a
 * reading loses resolution and no events. Written in the form of statsd, one figure a line:
 * {@code edge_proxy.requests.balance.served:812|c}, gauges with {@code |g}.
 *
 * <p>Counted where an answer is handed to its client's socket, so that it is what a client could have seen. A class
 * that is dropped from the configuration keeps its counts.
 *
 * <p><b>Bounds.</b> One row for each class name ever configured; O(1) a count. One thread.
 */
public final class Counters {
    /** What a request's client was told. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED
    }

    private static final String PREFIX = "edge_proxy.";
    private static final String[] WORDS = {"served", "refused", "failed"};

    private final Map<String, long[]> byClass = new LinkedHashMap<>();

    /** From now on this class is listed, with whatever it has counted before. */
    public void list(String requestClass) {
        byClass.computeIfAbsent(requestClass, name -> new long[WORDS.length]);
    }

    /** A request of a class that is listed has ended for its client. */
    public void ended(String requestClass, End end) {
        byClass.get(requestClass)[end.ordinal()]++;
    }

    /** How many requests of a class have ended so; 0 for one that is not listed. */
    public long count(String requestClass, End end) {
        long[] counts = byClass.get(requestClass);
        return counts == null ? 0 : counts[end.ordinal()];
    }

    /** Appends all counts, a line each. */
    public void write(StringBuilder to) {
        byClass.forEach((name, counts) -> {
            for (int i = 0; i < WORDS.length; i++) {
                counter(to, "requests." + plain(name) + '.' + WORDS[i], counts[i]);
            }
        });
    }

    /** Appends one count. */
    public static void counter(StringBuilder to, String name, long value) {
        to.append(PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    /** Appends one present value. */
    public static void gauge(StringBuilder to, String name, long value) {
        to.append(PREFIX).append(name).append(':').append(value).append("|g\n");
    }

    /** A name in which nothing can be taken for the form's own signs; two names never become one. */
    static String plain(String name) {
        StringBuilder plain = new StringBuilder(name.length());
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c < 128 && (Character.isLetterOrDigit(c) || c == '-' || c == '_')) {
                plain.append(c);
            } else {
                plain.append('%').append(Integer.toHexString(c)).append('%');
            }
        }
        return plain.toString();
    }
}
