package gorsemast.cache;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines how many homes an object has.
 *
 * <p>One home sends an object to every edge whose clients request it, once in the object's lifetime. With many edges,
 * large objects and narrow links, the traffic for one popular object alone fills its home's link and delays
 * everything else that the home sends. So an object that is requested at this edge in each of its lifetimes, and then
 * probably at most edges, has as many homes as keep its traffic to {@link #MAX_LINK_RATIO} of a home's link. Each
 * home costs one more fetch from the servers per lifetime. One home is enough where links are wide or objects small.
 *
 * <p>An object that is popular at few edges only is fetched more often than needed. Remembers the most recently
 * requested objects; O(1) per call. No clock, no I/O; not thread-safe; times are in microseconds.
 */
final class HotObjectTracker {
    /** An edge may be a home of several such objects at once. */
    private static final double MAX_LINK_RATIO = 0.0625;

    private static final int MAX_HOMES = 8;
    /** Splitting off a home for fewer edges than this saves nothing. */
    private static final int MIN_EDGES_PER_HOME = 4;

    private static final int MAX_TRACKED_OBJECTS = 2_048;
    private static final double MICROS_PER_SECOND = 1e6;

    private static final class ObjectDemand {
        private long lifetimeStart;
        /** Client requests in the current lifetime and in the one before. */
        private int currentRequests;

        private int previousRequests;
        private int bytes;
    }

    private final double linkBytesPerSecond;
    private final Map<String, ObjectDemand> demands = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ObjectDemand> eldest) {
            return size() > MAX_TRACKED_OBJECTS;
        }
    };

    /**
     * @param linkBytesPerSecond capacity of an edge's link; infinite if it is not a limit
     */
    HotObjectTracker(double linkBytesPerSecond) {
        this.linkBytesPerSecond = linkBytesPerSecond;
    }

    /** Records a client's request for an object with this lifetime. */
    void recordRequest(long now, String key, long lifetimeMicros) {
        if (Double.isInfinite(linkBytesPerSecond)) {
            return;
        }
        ObjectDemand demand = demands.computeIfAbsent(key, name -> new ObjectDemand());
        long age = now - demand.lifetimeStart;
        if (age >= lifetimeMicros) {
            demand.previousRequests = age < 2 * lifetimeMicros ? demand.currentRequests : 0;
            demand.currentRequests = 0;
            demand.lifetimeStart = now;
        }
        demand.currentRequests++;
    }

    /** Records the size of an object's response. */
    void recordSize(String key, int bytes) {
        ObjectDemand demand = demands.get(key);
        if (demand != null) {
            demand.bytes = bytes;
        }
    }

    /** How many homes an object with this lifetime has among {@code edges} edges. */
    int homeCount(String key, long lifetimeMicros, int edges) {
        ObjectDemand demand = demands.get(key);
        boolean hot = demand != null && (demand.previousRequests > 0 || demand.currentRequests > 1);
        if (!hot || lifetimeMicros <= 0) {
            return 1;
        }
        double bytesPerSecond = edges * (double) demand.bytes * MICROS_PER_SECOND / lifetimeMicros;
        double maxHomes = Math.max(1, Math.min(MAX_HOMES, (double) edges / MIN_EDGES_PER_HOME));
        return (int) Math.max(1, Math.min(maxHomes, Math.ceil(bytesPerSecond / (MAX_LINK_RATIO * linkBytesPerSecond))));
    }
}
