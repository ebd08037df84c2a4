package gorsemast.cache;

import gorsemast.configuration.Route;

/**
 * An object that is requested.
 *
 * @param host in lower case
 * @param uri including the query
 */
public record ObjectRequest(Route route, String host, String uri) {
    /** The key under which its response is cached. */
    public String key() {
        return ResponseCache.key(host, uri);
    }

    /** The service that the object belongs to. */
    String service() {
        return route.services().get(0).service();
    }
}
