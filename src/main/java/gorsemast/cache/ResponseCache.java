package gorsemast.cache;

import gorsemast.gossip.PurgeRequest;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The copies that one edge holds, and what has been purged of late.
 *
 * <p><b>Idea.</b> Least recently used first out, under one bound of bytes. A purge takes away what is held; and as an
 * answer may be on its way that was asked for before the purge, each purge gets a number, and what was asked for under a
 * lower one is held against all purges since ({@link #purgedSince}) before it is put here.
 *
 * <p><b>Bounds.</b> {@code most} bytes, {@link #PURGES} purges. O(1) but for purges and {@link #removeExpired}, which look at
 * all that is held. One thread; times in microseconds.
 */
public final class ResponseCache {
    private static final int PURGES = 4_096;
    /** A copy of more than this part of all room is not held. */
    private static final int LARGEST_PART = 8;

    private record Numbered(long number, PurgeRequest purge) {}

    private final LinkedHashMap<String, CachedResponse> copies = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Numbered> purges = new ArrayDeque<>();
    private final long most;
    private long bytes;
    private long number;

    /** With room for so many bytes. */
    public ResponseCache(long most) {
        this.most = most;
    }

    /** The key of an object. */
    public static String key(String host, String uri) {
        return host + ' ' + uri;
    }

    /** A copy that may be served now; null for none. */
    public CachedResponse getFresh(long now, String key, long routeTtl) {
        CachedResponse copy = copies.get(key);
        return copy != null && copy.isFresh(now, routeTtl) ? copy : null;
    }

    /** A copy whether it may be served or not; null for none. */
    public CachedResponse peek(String key) {
        return copies.get(key);
    }

    /** Holds a copy from now on; returns how many others gave way to it. */
    public int put(String key, CachedResponse copy) {
        if (copy.weightBytes() > most / LARGEST_PART) {
            return 0;
        }
        CachedResponse before = copies.put(key, copy);
        bytes += copy.weightBytes() - (before == null ? 0 : before.weightBytes());
        Iterator<CachedResponse> eldest = copies.values().iterator();
        int evicted = 0;
        while (bytes > most && eldest.hasNext()) {
            bytes -= eldest.next().weightBytes();
            eldest.remove();
            evicted++;
        }
        return evicted;
    }

    /** The number of the last purge: what is asked for now has it. */
    public long lastPurgeNumber() {
        return number;
    }

    /** Takes away what a purge names. */
    public void purge(PurgeRequest purge) {
        purges.add(new Numbered(++number, purge));
        if (purges.size() > PURGES) {
            purges.poll();
        }
        Iterator<Map.Entry<String, CachedResponse>> all = copies.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, CachedResponse> entry = all.next();
            if (matches(purge, entry.getKey(), entry.getValue())) {
                bytes -= entry.getValue().weightBytes();
                all.remove();
            }
        }
    }

    /** Whether a purge names an object, by its path without the query or by a tag of the copy. */
    public static boolean matches(PurgeRequest purge, String key, CachedResponse copy) {
        return purge.tag().isEmpty() ? matchesPath(purge, key) : copy.tags().contains(purge.tag());
    }

    /** Whether it names it by its path. */
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

    /** Whether this copy, asked for under {@code since}, is named by a later purge, or may be. */
    public boolean purgedSince(long since, String key, CachedResponse copy) {
        if (since < number - PURGES) {
            return true;
        }
        Iterator<Numbered> latest = purges.descendingIterator();
        while (latest.hasNext()) {
            Numbered one = latest.next();
            if (one.number <= since) {
                return false;
            }
            if (matches(one.purge, key, copy)) {
                return true;
            }
        }
        return false;
    }

    /** Lets go of what may not be served any more. */
    public void removeExpired(long now) {
        copies.values().removeIf(copy -> {
            boolean over = !copy.isFresh(now, Long.MAX_VALUE);
            bytes -= over ? copy.weightBytes() : 0;
            return over;
        });
    }

    /** Bytes held. */
    public long bytes() {
        return bytes;
    }

    /** Copies held. */
    public int size() {
        return copies.size();
    }
}
