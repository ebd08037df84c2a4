package gorsemast.node;

/**
 * The losses that the system tolerates at the same time without violating a rule: a number of machines, or of whole zones,
 * or of whole regions. Immutable.
 *
 * @param machines machines whose loss is counted, 0 or more
 * @param zones 0 or more; 0 if the loss of a zone is not tolerated
 * @param regions 0 or more; 0 if the loss of a region is not tolerated
 */
public record FaultTolerance(int machines, int zones, int regions) {
    /** Tolerates the loss of this many machines, but of no whole zone or region. */
    public static FaultTolerance ofMachines(int machines) {
        return new FaultTolerance(machines, 0, 0);
    }

    /** Returns the largest of the three: the number of disks that may be lost beside one that still has the data. */
    public int losses() {
        return Math.max(machines, Math.max(zones, regions));
    }
}
