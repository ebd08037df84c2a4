package gorsemast.cache;

import gorsemast.configuration.Route;

/**
 * An object that is asked for.
 *
 * @param host in lower case
 * @param uri with its query
 */
public record ObjectRequest(Route route, String host, String uri) {
    /** What it is held under. */
    public String key() {
        return ResponseCache.key(host, uri);
    }

    /** The service whose objects it is one of. */
    String service() {
        return route.services().get(0).service();
    }
}
