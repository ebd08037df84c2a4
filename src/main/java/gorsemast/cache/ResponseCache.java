package gorsemast.cache;

import gorsemast.gossip.PurgeRequest;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cached responses of one edge and its recent purges.
 *
 * <p>The least recently used entries are evicted when the total size exceeds the limit. A purge removes matching
 * entries. As a response that was requested before a purge may arrive after it, purges are numbered: a response
 * requested under a lower number is checked against all later purges ({@link #firstPurgeSince}) before it is cached.
 *
 * <p>Holds up to {@code maxBytes} bytes and {@link #MAX_REMEMBERED_PURGES} purges. Operations are O(1), except for
 * purges and {@link #removeExpired}, which scan all entries. Not thread-safe; times are in microseconds.
 */
public final class ResponseCache {
    /** What {@link #firstPurgeSince} returns if no purge matches; higher than the number of any purge. */
    public static final long NO_PURGE = Long.MAX_VALUE;

    private static final int MAX_REMEMBERED_PURGES = 4_096;
    /** A response larger than {@code maxBytes} divided by this is not cached. */
    private static final int MAX_ENTRY_DIVISOR = 8;

    private record NumberedPurge(long number, PurgeRequest purge) {}

    private final LinkedHashMap<String, CachedResponse> entries = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<NumberedPurge> recentPurges = new ArrayDeque<>();
    private final long maxBytes;
    private long bytes;
    private long lastPurgeNumber;

    /** Creates a cache with this size limit. */
    public ResponseCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The cache key of an object. */
    public static String key(String host, String uri) {
        return host + ' ' + uri;
    }

    /** The cached response if it may be served now, else null. */
    public CachedResponse getFresh(long now, String key, long routeTtl) {
        CachedResponse response = entries.get(key);
        return response != null && response.isFresh(now, routeTtl) ? response : null;
    }

    /** The cached response whether or not it may be served; null if there is none. */
    public CachedResponse peek(String key) {
        return entries.get(key);
    }

    /** Caches a response; returns how many others were evicted. */
    public int put(String key, CachedResponse response) {
        if (response.weightBytes() > maxBytes / MAX_ENTRY_DIVISOR) {
            return 0;
        }
        CachedResponse replaced = entries.put(key, response);
        bytes += response.weightBytes() - (replaced == null ? 0 : replaced.weightBytes());
        Iterator<CachedResponse> eldest = entries.values().iterator();
        int evicted = 0;
        while (bytes > maxBytes && eldest.hasNext()) {
            bytes -= eldest.next().weightBytes();
            eldest.remove();
            evicted++;
        }
        return evicted;
    }

    /** The number of the last purge; a fetch that starts now remembers it. */
    public long lastPurgeNumber() {
        return lastPurgeNumber;
    }

    /** Applies a purge: removes all entries that it matches. */
    public void purge(PurgeRequest purge) {
        recentPurges.add(new NumberedPurge(++lastPurgeNumber, purge));
        if (recentPurges.size() > MAX_REMEMBERED_PURGES) {
            recentPurges.poll();
        }
        Iterator<Map.Entry<String, CachedResponse>> all = entries.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, CachedResponse> entry = all.next();
            if (matches(purge, entry.getKey(), entry.getValue())) {
                bytes -= entry.getValue().weightBytes();
                all.remove();
            }
        }
    }

    /** Whether a purge matches a response, by its path without the query or by one of its tags. */
    public static boolean matches(PurgeRequest purge, String key, CachedResponse response) {
        return purge.tag().isEmpty() ? matchesPath(purge, key) : response.tags().contains(purge.tag());
    }

    /** Whether a purge by path matches a key. */
    public static boolean matchesPath(PurgeRequest purge, String key) {
        if (!purge.tag().isEmpty()) {
            return false;
        }
        int path = purge.host().length() + 1;
        return key.startsWith(purge.host())
                && key.length() >= path + purge.path().length()
                && key.charAt(path - 1) == ' '
                && key.startsWith(purge.path(), path)
                && (key.length() == path + purge.path().length()
                        || key.charAt(path + purge.path().length()) == '?');
    }

    /**
     * The number of the first purge after number {@code since} that matches this response, or may match it; {@link
     * #NO_PURGE} if there is none.
     */
    public long firstPurgeSince(long since, String key, CachedResponse response) {
        if (since < lastPurgeNumber - MAX_REMEMBERED_PURGES) {
            return since + 1;
        }
        long first = NO_PURGE;
        Iterator<NumberedPurge> latest = recentPurges.descendingIterator();
        while (latest.hasNext()) {
            NumberedPurge latestPurge = latest.next();
            if (latestPurge.number <= since) {
                break;
            }
            if (matches(latestPurge.purge, key, response)) {
                first = latestPurge.number;
            }
        }
        return first;
    }

    /** Removes the entries that may no longer be served. */
    public void removeExpired(long now) {
        entries.values().removeIf(response -> {
            boolean over = !response.isFresh(now, Long.MAX_VALUE);
            bytes -= over ? response.weightBytes() : 0;
            return over;
        });
    }

    /** Total size of the entries in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Number of entries. */
    public int size() {
        return entries.size();
    }
}
