package gorsemast.dispatch;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Separates headers that concern one connection only (RFC 9110, 7.6.1) from those that are forwarded. Stateless;
 * thread-safe.
 */
public final class HopByHopHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "host",
            "proxy-authenticate",
            "proxy-authorization");

    private HopByHopHeaders() {}

    /**
     * Whether this header is not forwarded; {@code connectionOptions} are the lower-case names that {@code
     * Connection} lists.
     */
    private static boolean isHopByHop(String name, Set<String> connectionOptions) {
        String lower = name.toLowerCase(Locale.ROOT);
        return HOP_BY_HOP.contains(lower) || connectionOptions.contains(lower);
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String word : line.split(",")) {
                named.add(word.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }

    /** Adds all headers that are forwarded; the sender sets the length itself. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> named = connectionOptions(from);
        for (Iterator<Map.Entry<String, String>> all = from.iteratorAsString(); all.hasNext(); ) {
            Map.Entry<String, String> header = all.next();
            if (!isHopByHop(header.getKey(), named)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
