package gorsemast.maintenance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How much of the fleet may be out at once. What is emptying, out, or warming up counts, and so does what is not there
 * without anybody having asked.
 *
 * <p><b>Idea.</b> A machine may go only if all bounds hold with it gone: each is a sum over those that are not in full
 * service, so a further one never makes another's going allowed (the bounds are downward closed), and any order of grants
 * that are each allowed when they are made is allowed throughout. O(machines) a look. Immutable.
 *
 * @param perZone at most so many of one kind out in a zone
 * @param perBlock at most so many of one kind out in a block
 * @param perGroup at most so many of one kind out of a hardware class
 * @param reserve the part of the demand by which the capacity left has to exceed it, 0.2 for a fifth more
 * @param ledger fetches a second that the ledger bears beside its usual ones
 */
public record Bounds(int perZone, int perBlock, int perGroup, double reserve, double ledger) {
    public Bounds {
        if (perZone < 1 || perBlock < 1 || perGroup < 1 || !(reserve >= 0) || !(ledger >= 0)) {
            throw new IllegalArgumentException(
                    "perZone, perBlock, perGroup are 1 or more, reserve and ledger 0 or more: " + perZone + ", "
                            + perBlock + ", " + perGroup + ", " + reserve + ", " + ledger);
        }
    }

    /**
     * Why a machine may not go now, in words for people; null where it may.
     *
     * @param all the whole fleet
     * @param out those that are not in full service
     * @param refilling those of them whose keys the ledger is refilling now
     * @param demand requests a second that the nodes have to carry
     */
    public String against(
            Machine wanted, Collection<Machine> all, Set<Machine> out, Set<Machine> refilling, double demand) {
        if (out.contains(wanted)) {
            return wanted.name() + " is not in full service itself";
        }
        Map<String, Integer> sums = new HashMap<>();
        for (Machine machine : out) {
            if (machine.kind() == wanted.kind()) {
                sums.merge("zone " + machine.zone(), 1, Integer::sum);
                sums.merge("block " + machine.zone() + "/" + machine.block(), 1, Integer::sum);
                sums.merge("class " + machine.group(), 1, Integer::sum);
            }
        }
        String full = over(sums, "zone " + wanted.zone(), perZone);
        full = full == null ? over(sums, "block " + wanted.zone() + "/" + wanted.block(), perBlock) : full;
        full = full == null ? over(sums, "class " + wanted.group(), perGroup) : full;
        if (full != null) {
            return full;
        }
        long kin =
                all.stream().filter(machine -> machine.kind() == wanted.kind()).count();
        long kinOut =
                out.stream().filter(machine -> machine.kind() == wanted.kind()).count();
        boolean last = all.stream()
                .noneMatch(machine -> machine.kind() == wanted.kind()
                        && !machine.equals(wanted)
                        && machine.zone().equals(wanted.zone())
                        && !out.contains(machine));
        if (last && kin > 1) {
            return wanted.name() + " is the last " + word(wanted) + " that serves zone " + wanted.zone();
        }
        if (wanted.kind() == Machine.Kind.PROXY) {
            return 2 * (kinOut + 1) >= kin
                    ? "a majority of the " + kin + " proxies has to stay, " + kinOut + " are out"
                    : null;
        }
        double left = all.stream()
                .filter(machine ->
                        machine.kind() == Machine.Kind.NODE && !machine.equals(wanted) && !out.contains(machine))
                .mapToDouble(Machine::capacity)
                .sum();
        if (left < demand * (1 + reserve)) {
            return String.format(
                    java.util.Locale.ROOT,
                    "capacity left %.0f/s is under %.0f/s, the demand with its reserve",
                    left,
                    demand * (1 + reserve));
        }
        double refill = wanted.refill()
                + refilling.stream().mapToDouble(Machine::refill).sum();
        // One alone is let go however much it costs: else a large node could never be worked on.
        if (refill > ledger && !refilling.isEmpty()) {
            return String.format(
                    java.util.Locale.ROOT, "the ledger would have to refill %.0f/s, it bears %.0f/s", refill, ledger);
        }
        return null;
    }

    private static String over(Map<String, Integer> sums, String where, int most) {
        int out = sums.getOrDefault(where, 0);
        return out >= most ? where + " has " + out + " out, " + most + " at most" : null;
    }

    private static String word(Machine machine) {
        return machine.kind() == Machine.Kind.NODE ? "node" : "proxy";
    }
}
