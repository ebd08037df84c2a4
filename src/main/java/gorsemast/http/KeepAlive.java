package gorsemast.http;

/** Parses the {@code Keep-Alive} header: for how long a server keeps an idle connection. */
public final class KeepAlive {
    private static final String TIMEOUT = "timeout";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MAX_DIGITS = 9;

    private KeepAlive() {}

    /**
     * The timeout in milliseconds, from {@code timeout=N} or {@code N} in whole seconds; -1 if there is none or it is
     * malformed.
     */
    public static long timeoutMillis(String header) {
        if (header == null) {
            return -1;
        }
        for (String part : header.split(",")) {
            int equals = part.indexOf('=');
            String name = equals < 0 ? TIMEOUT : part.substring(0, equals).trim();
            String value = part.substring(equals + 1).trim();
            boolean isNumber = !value.isEmpty()
                    && value.length() <= MAX_DIGITS
                    && value.chars().allMatch(c -> c >= '0' && c <= '9');
            if (name.equalsIgnoreCase(TIMEOUT) && isNumber) {
                return MILLIS_PER_SECOND * Long.parseLong(value);
            }
        }
        return -1;
    }
}
