package gorsemast.dispatch;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Which headers concern one connection only (RFC 9110, 7.6.1) and are not passed on. No state; any thread. */
public final class HopByHopHeaders {
    private static final Set<String> OWN = Set.of(
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

    /** Whether this one stays behind; {@code named} are those that {@code Connection} names, in lower case. */
    private static boolean stays(String name, Set<String> named) {
        String lower = name.toLowerCase(Locale.ROOT);
        return OWN.contains(lower) || named.contains(lower);
    }

    private static Set<String> named(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String word : line.split(",")) {
                named.add(word.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }

    /** Adds all but those; lengths are said anew by whoever sends them. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> named = named(from);
        for (Iterator<Map.Entry<String, String>> all = from.iteratorAsString(); all.hasNext(); ) {
            Map.Entry<String, String> header = all.next();
            if (!stays(header.getKey(), named)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
