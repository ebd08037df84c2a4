package gorsemast.store;

import gorsemast.node.FaultTolerance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Plans the members and which of them hold copies, so that every tolerated loss leaves a copy and a majority of the
 * members, as far as the machines allow it. Pure functions; thread-safe.
 *
 * <p>There are {@code 2f + 1} members, no more: a fourth beside three would raise the majority to three and tolerate no
 * further loss. Any other machine is a spare. It holds no copy, and replaces a member at once when that member leaves
 * or comes back with an empty disk at its address, or once it was silent for {@link #REPLACE_AFTER_MICROS}.
 */
final class MembershipPlanner {
    /** A member that was silent for this long may be replaced; a killed process restarts within it. */
    static final long REPLACE_AFTER_MICROS = 1_500_000;

    /**
     * A machine as it is seen now.
     *
     * @param silenceMicros how long it has not been heard
     * @param location null where it has not been reported
     */
    record Candidate(Member member, long silenceMicros, boolean leaving, Location location) {
        boolean isAlive() {
            return silenceMicros < Liveness.HEARTBEAT_TIMEOUT_MICROS;
        }

        /** Returns whether the machine can become a member. */
        boolean canJoin() {
            return isAlive() && !leaving && location != null && location.lossCounted();
        }
    }

    private final FaultTolerance tolerance;

    MembershipPlanner(FaultTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** Returns how many members there should be, given enough machines. */
    int targetMemberCount() {
        return 2 * tolerance.losses() + 1;
    }

    /**
     * Returns the number of backups for so many members: at least the losses, and enough that every majority has a
     * copy.
     */
    int backupCount(int members) {
        return Math.min(members - 1, Math.max(tolerance.losses(), (members - 1) / 2));
    }

    /**
     * Returns the next members; null for no change. They differ from the current ones by one: exchanged or added.
     *
     * @param self the primary, which decides this and never replaces itself
     * @param members the current members, including the primary
     * @param others machines that are not members
     */
    List<Member> planChange(Member self, List<Candidate> members, List<Candidate> others) {
        List<Candidate> joining = others.stream().filter(Candidate::canJoin).toList();
        for (Candidate candidate : members) {
            for (Candidate other : others) {
                if (other.isAlive()
                        && !other.leaving
                        && !candidate.member.equals(self)
                        && other.silenceMicros < candidate.silenceMicros
                        && other.member.ip().equals(candidate.member.ip())) {
                    return replace(
                            members, candidate, other); // its disk was lost: the old member will never be heard again
                }
            }
        }
        if (joining.isEmpty()) {
            return null;
        }
        Candidate departed = members.stream()
                .filter(candidate -> !candidate.member.equals(self)
                        && (candidate.leaving || candidate.silenceMicros > REPLACE_AFTER_MICROS))
                .max(Comparator.comparingLong(Candidate::silenceMicros))
                .orElse(null);
        if (departed != null) {
            return leastExposed(joining.stream()
                    .map(candidate -> new Change(members, departed, candidate))
                    .toList());
        }
        if (!members.stream().allMatch(candidate -> candidate.isAlive() && candidate.location != null)) {
            return null; // growing or moving the membership waits until all members are well
        }
        if (members.size() < targetMemberCount()) {
            return leastExposed(joining.stream()
                    .map(candidate -> new Change(members, null, candidate))
                    .toList());
        }
        int currentLoss = worstLoss(locations(members));
        if (2 * (members.size() - currentLoss) > members.size()) {
            return null;
        }
        List<Change> changes = new ArrayList<>();
        for (Candidate candidate : members) {
            for (Candidate other : joining) {
                Change change = new Change(members, candidate, other);
                if (!candidate.member.equals(self) && worstLoss(locations(change.after())) < currentLoss) {
                    changes.add(change);
                }
            }
        }
        return changes.isEmpty() ? null : leastExposed(changes);
    }

    /** Exchanges one member, or adds one where {@code out} is null. */
    private record Change(List<Candidate> members, Candidate out, Candidate in) {
        List<Candidate> after() {
            List<Candidate> after = new ArrayList<>(members);
            if (out == null) {
                after.add(in);
            } else {
                after.set(after.indexOf(out), in);
            }
            return after;
        }
    }

    private List<Member> leastExposed(List<Change> changes) {
        Change best = changes.stream()
                .min(Comparator.comparingInt(change -> worstLoss(locations(change.after()))))
                .orElseThrow();
        return best.after().stream().map(Candidate::member).toList();
    }

    private static List<Member> replace(List<Candidate> members, Candidate out, Candidate in) {
        return new Change(members, out, in)
                .after().stream().map(Candidate::member).toList();
    }

    private static List<Location> locations(List<Candidate> candidates) {
        return candidates.stream()
                .map(candidate -> candidate.location == null ? Location.UNKNOWN : candidate.location)
                .toList();
    }

    /** Returns whether every tolerated loss leaves a majority of members at these locations. */
    boolean majoritySurvives(List<Location> members) {
        return 2 * (members.size() - worstLoss(members)) > members.size();
    }

    /** Returns whether every tolerated loss of zones or regions leaves one of the copies at these locations. */
    boolean copySurvives(Collection<Location> copies) {
        return distinct(copies, Location::zone) > tolerance.zones()
                && distinct(copies, Location::region) > tolerance.regions();
    }

    private static long distinct(Collection<Location> locations, Function<Location, String> domain) {
        return locations.stream().map(domain).distinct().count();
    }

    /** Returns the largest number of members that one tolerated loss takes away. */
    private int worstLoss(List<Location> members) {
        return Math.max(
                Math.min(tolerance.machines(), members.size()),
                Math.max(
                        membersInLargest(members, Location::zone, tolerance.zones()),
                        membersInLargest(members, Location::region, tolerance.regions())));
    }

    private static int membersInLargest(List<Location> members, Function<Location, String> domain, int lostDomains) {
        if (lostDomains == 0) {
            return 0;
        }
        Map<String, Long> counts = members.stream().collect(Collectors.groupingBy(domain, Collectors.counting()));
        return (int) counts.values().stream()
                .sorted(Comparator.reverseOrder())
                .limit(lostDomains)
                .mapToLong(Long::longValue)
                .sum();
    }

    /**
     * Returns the members that hold copies beside the primary, best first; fewer than {@link #backupCount} where too
     * few can.
     *
     * @param members all members, including the primary
     * @param able ids of the members that may be chosen
     * @param preferred ids that win among members of equal rank
     */
    List<String> chooseBackups(
            String primary, List<Candidate> members, Set<String> able, Collection<String> preferred) {
        List<Candidate> eligible = new ArrayList<>(members.stream()
                .filter(candidate -> able.contains(candidate.member.id())
                        && !candidate.member.id().equals(primary))
                .toList());
        List<Location> occupied = new ArrayList<>(members.stream()
                .filter(candidate -> candidate.member.id().equals(primary))
                .map(Candidate::location)
                .filter(Objects::nonNull)
                .toList());
        List<String> backups = new ArrayList<>();
        while (backups.size() < backupCount(members.size()) && !eligible.isEmpty()) {
            Candidate next = eligible.stream()
                    .min(Comparator.comparing((Candidate candidate) -> candidate.leaving)
                            .thenComparing(candidate -> !addsDomain(occupied, candidate.location))
                            .thenComparing(candidate -> !preferred.contains(candidate.member.id())))
                    .orElseThrow();
            eligible.remove(next);
            backups.add(next.member.id());
            if (next.location != null) {
                occupied.add(next.location);
            }
        }
        return backups;
    }

    private boolean addsDomain(List<Location> occupied, Location location) {
        Set<String> zones = occupied.stream().map(Location::zone).collect(Collectors.toSet());
        Set<String> regions = occupied.stream().map(Location::region).collect(Collectors.toSet());
        return location != null
                && (tolerance.zones() == 0 || !zones.contains(location.zone()))
                && (tolerance.regions() == 0 || !regions.contains(location.region()));
    }

    /** Returns whether these copies suffice: enough, none on a leaving member, and spread as the tolerance requires. */
    boolean areSound(String primary, List<Candidate> members, Collection<String> backups) {
        Set<String> copies = new HashSet<>(backups);
        copies.add(primary);
        List<Candidate> holders = members.stream()
                .filter(candidate -> copies.contains(candidate.member.id()))
                .toList();
        boolean isSpread =
                holders.stream().anyMatch(candidate -> candidate.location == null) || copySurvives(locations(holders));
        boolean allStay = holders.stream()
                .noneMatch(
                        candidate -> candidate.leaving && !candidate.member.id().equals(primary));
        return holders.size() == 1 + backupCount(members.size()) && allStay && isSpread;
    }
}
