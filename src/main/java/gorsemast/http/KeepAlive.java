package gorsemast.http;

/** Reads the {@code Keep-Alive} header: for how long a server keeps an idle connection. */
public final class KeepAlive {
    private static final String TIMEOUT = "timeout";
    private static final long MILLIS = 1_000;
    private static final int MOST_DIGITS = 9;

    private KeepAlive() {}

    /** In milliseconds, of {@code timeout=N} or {@code N} in whole seconds; -1 where there is none that can be read. */
    public static long timeoutMillis(String header) {
        if (header == null) {
            return -1;
        }
        for (String part : header.split(",")) {
            int equals = part.indexOf('=');
            String name = equals < 0 ? TIMEOUT : part.substring(0, equals).trim();
            String value = part.substring(equals + 1).trim();
            boolean number = !value.isEmpty()
                    && value.length() <= MOST_DIGITS
                    && value.chars().allMatch(c -> c >= '0' && c <= '9');
            if (name.equalsIgnoreCase(TIMEOUT) && number) {
                return MILLIS * Long.parseLong(value);
            }
        }
        return -1;
    }
}
