package gorsemast.node;

/**
 * What may be lost at the same time while every rule is kept: so many counted machines, or so many whole zones, or so
 * many whole regions. A value; any thread.
 *
 * @param machines counted machines, 0 or more
 * @param zones 0 or more; 0 where a zone's loss is not borne
 * @param regions 0 or more; 0 where a region's loss is not borne
 */
public record FaultTolerance(int machines, int zones, int regions) {
    /** That many machines, and no zone or region as a whole. */
    public static FaultTolerance ofMachines(int machines) {
        return new FaultTolerance(machines, 0, 0);
    }

    /** The largest of the three: so many disks may be lost beside the one that has a copy left. */
    public int losses() {
        return Math.max(machines, Math.max(zones, regions));
    }
}
