package gorsemast.cache;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A server's whole answer, held.
 *
 * @param headers as they go to clients, without what concerns one connection or one request
 * @param body all of it; not to be written to
 * @param tags by which it may be purged
 * @param requestedAt when the server was asked for it, in the holder's time: what it says is at least as new
 * @param ttlMicros how long from then it may be served at most
 */
public record CachedResponse(
        int status,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        Set<String> tags,
        long requestedAt,
        long ttlMicros) {
    /** What each held object costs beside its body. */
    private static final int OVERHEAD = 600;

    /** Whether it may be served now on a route that lets copies be served for so long. */
    public boolean isFresh(long now, long routeTtl) {
        return now - requestedAt < Math.min(ttlMicros, routeTtl);
    }

    /** About what it takes of memory, in bytes. */
    public int weightBytes() {
        return body.length + OVERHEAD;
    }

    /** A header's value; null for none. Names in any case. */
    public String header(String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }
}
