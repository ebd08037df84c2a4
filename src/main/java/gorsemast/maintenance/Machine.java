package gorsemast.maintenance;

/**
 * A machine that can be taken out for work.
 *
 * @param name the cache node's or the proxy's
 * @param kind what runs there
 * @param zone the part of the installation that fails together
 * @param block the smaller part within it, a rack or a power feed
 * @param group its class of hardware
 * @param capacity requests a second that it carries when it is warm; above 0
 * @param refill fetches a second that its keys cost the ledger while they are moved away, and again while it is cold
 * @param warmMillis how long it takes until it is warm again
 */
public record Machine(
        String name,
        Kind kind,
        String zone,
        String block,
        String group,
        double capacity,
        double refill,
        long warmMillis)
        implements Comparable<Machine> {
    /** What runs on it. */
    public enum Kind {
        NODE,
        PROXY
    }

    public Machine {
        if (name.isEmpty() || zone.isEmpty()) {
            throw new IllegalArgumentException("a machine has a name and a zone: '" + name + "', '" + zone + "'");
        }
        if (!(capacity > 0) || !(refill >= 0) || warmMillis < 0) {
            throw new IllegalArgumentException(name + ": capacity is above 0, refill and warmMillis are not below, not "
                    + capacity + ", " + refill + ", " + warmMillis);
        }
    }

    @Override
    public int compareTo(Machine other) {
        return name.compareTo(other.name);
    }
}
