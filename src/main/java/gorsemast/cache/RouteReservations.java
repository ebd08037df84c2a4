package gorsemast.cache;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides how many of a service's permits a route has to leave to the service's other routes.
 *
 * <p>The routes of a service share the permits to send requests to its servers. Where these are scarce, a route that
 * requests many objects takes each permit as soon as it becomes available, and one that requests few gets hardly any.
 * So each is entitled to what max-min fairness gives it: a route with little demand to all of it, the others to even
 * parts of what is left. A route within its entitlement may take any permit; beyond it, it leaves as many as those with
 * little demand are still entitled to. Routes with much demand compete as before, since a permit for the one whose
 * objects are requested most serves most requests.
 *
 * <p>Demand and granted permits are exponentially decaying counts. The demand of a new route is unknown: its first
 * requests depend on what others were left. O(routes) where permits are scarce. No clock, no I/O; not thread-safe;
 * times are in microseconds.
 */
final class RouteReservations {
    /** A route with less demand than this is forgotten. */
    private static final double MIN_DEMAND = 0.02;

    private static final class Usage {
        private double demand;
        private double granted;

        /** What is left of its entitlement, if no route is entitled to more than {@code level}. */
        double unused(double level) {
            return Math.max(0, Math.min(demand, level) - granted);
        }
    }

    private final double decayMicros;
    private final Map<String, Usage> usageByRoute = new HashMap<>();
    private long updatedAt;

    /**
     * @param windowMicros over which the permits are counted
     */
    RouteReservations(long windowMicros) {
        this.decayMicros = windowMicros;
    }

    /** Records that a route requests a permit. */
    void recordRequest(long now, String route) {
        decay(now);
        usageByRoute.computeIfAbsent(route, name -> new Usage()).demand++;
    }

    /** Records that a route has got a permit. */
    void recordGranted(long now, String route) {
        decay(now);
        usageByRoute.computeIfAbsent(route, name -> new Usage()).granted++;
    }

    /** Records that a route has given a permit back unused. */
    void recordReleased(String route) {
        Usage usage = usageByRoute.get(route);
        if (usage != null) {
            usage.granted = Math.max(0, usage.granted - 1);
        }
    }

    private void decay(long now) {
        if (now <= updatedAt) {
            return;
        }
        double factor = Math.exp((updatedAt - now) / decayMicros);
        updatedAt = now;
        usageByRoute.values().forEach(usage -> {
            usage.demand *= factor;
            usage.granted *= factor;
        });
        usageByRoute.values().removeIf(usage -> usage.demand < MIN_DEMAND);
    }

    /** How many of {@code limit} permits per window the route has to leave to the others now. */
    double reservedForOthers(long now, String route, double limit) {
        decay(now);
        Usage own = usageByRoute.get(route);
        double level = fairLevel(limit);
        if (own != null && own.unused(level) > 0) {
            return 0;
        }
        double reserved = 0;
        for (Usage usage : usageByRoute.values()) {
            boolean isSmall = usage != own && usage.demand <= level;
            reserved += isSmall ? usage.unused(level) : 0;
        }
        return reserved;
    }

    /** The most that a route is entitled to, so that all entitlements together are the limit. */
    private double fairLevel(double limit) {
        double[] demands = usageByRoute.values().stream()
                .mapToDouble(usage -> usage.demand)
                .sorted()
                .toArray();
        double left = limit;
        for (int i = 0; i < demands.length; i++) {
            double evenPart = left / (demands.length - i);
            if (demands[i] >= evenPart) {
                return evenPart;
            }
            left -= demands[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
