package gorsemast.cache;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A server's complete response, as it is cached.
 *
 * @param headers as they are sent to clients, without those of one connection or one request
 * @param body the complete body; must not be modified
 * @param tags by which the response may be purged
 * @param requestedAt when it was requested from the server, in the local clock: its content is at least as new
 * @param ttlMicros how long after that it may be served at most
 */
public record CachedResponse(
        int status,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        Set<String> tags,
        long requestedAt,
        long ttlMicros) {
    /** Estimated memory of a cached response beside its body. */
    private static final int OVERHEAD_BYTES = 600;

    /** Whether it may be served now on a route with this time to live. */
    public boolean isFresh(long now, long routeTtlMicros) {
        return now - requestedAt < Math.min(ttlMicros, routeTtlMicros);
    }

    /** Approximate memory use in bytes. */
    public int weightBytes() {
        return body.length + OVERHEAD_BYTES;
    }

    /** The value of a header, by case-insensitive name; null if absent. */
    public String header(String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }
}
