package gorsemast.cache;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many homes an object has.
 *
 * <p><b>Idea.</b> One home hands an object to every edge that is asked for it once in the object's life. Where edges are many, objects long
 * and links narrow, what all edges take of one popular object fills its home's link by itself, and all that the home sends waits
 * behind it. So an object that is asked for at this edge in each of its lives, as it then is at most edges, has as many homes as keep what
 * it takes of a home's link to {@link #PART_OF_LINK}; each costs one more fetch from the servers a life. Where links are wide, as where
 * objects are short, one is enough.
 *
 * <p><b>Could hurt</b> where an object is popular at few edges only: it is fetched more often than it need be. O(1) a call; the objects
 * asked for last are remembered. No clock, no I/O; one thread; times in microseconds.
 */
final class HotObjectTracker {
    private static final double PART_OF_LINK = 0.125;
    private static final int MOST_HOMES = 8;
    /** A home for fewer edges than this spares nothing. */
    private static final int LEAST_EDGES = 4;

    private static final int MOST_OBJECTS = 2_048;
    private static final double MICROS = 1e6;

    private static final class Interest {
        private long lifeBegan;
        /** Requests of clients here in this life, and in the one before. */
        private int now;

        private int before;
        private int bytes;
    }

    private final double linkBytes;
    private final Map<String, Interest> interests = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Interest> eldest) {
            return size() > MOST_OBJECTS;
        }
    };

    /** @param linkBytes that an edge's link carries a second; infinite where that is no bound */
    HotObjectTracker(double linkBytes) {
        this.linkBytes = linkBytes;
    }

    /** A client has asked for an object that lives so long. */
    void recordRequest(long now, String key, long lifeMicros) {
        if (Double.isInfinite(linkBytes)) {
            return;
        }
        Interest interest = interests.computeIfAbsent(key, name -> new Interest());
        long age = now - interest.lifeBegan;
        if (age >= lifeMicros) {
            interest.before = age < 2 * lifeMicros ? interest.now : 0;
            interest.now = 0;
            interest.lifeBegan = now;
        }
        interest.now++;
    }

    /** A copy of it has so many bytes. */
    void recordSize(String key, int bytes) {
        Interest interest = interests.get(key);
        if (interest != null) {
            interest.bytes = bytes;
        }
    }

    /** How many homes an object has that lives so long, among so many edges. */
    int homeCount(String key, long lifeMicros, int edges) {
        Interest interest = interests.get(key);
        boolean hot = interest != null && (interest.before > 0 || interest.now > 1);
        if (!hot || lifeMicros <= 0) {
            return 1;
        }
        double taken = edges * (double) interest.bytes * MICROS / lifeMicros;
        double most = Math.max(1, Math.min(MOST_HOMES, (double) edges / LEAST_EDGES));
        return (int) Math.max(1, Math.min(most, Math.ceil(taken / (PART_OF_LINK * linkBytes))));
    }
}
