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
 * Who is to be a member, and which members hold copies, so that each loss that is to be borne leaves a copy and more
 * than half of the members, as far as the machines allow it. Pure decisions; any thread.
 *
 * <p>Members are {@code 2f + 1}, no more: a fourth beside three would make the majority three and bear no further loss.
 * A machine beyond that is a spare. It holds no copy, and takes a place at once when a member says that it leaves or
 * comes back with an empty disk at its address, or once a member was silent for {@link #GONE_MICROS}.
 */
final class MembershipPlanner {
    /** A member that was silent for this long may be replaced; a process that is killed is back within it. */
    static final long GONE_MICROS = 1_500_000;

    /**
     * A machine as it is seen now.
     *
     * @param silence for how long it was not heard, in microseconds
     * @param place null where it has not been told
     */
    record Candidate(Member member, long silence, boolean leaving, Location place) {
        boolean alive() {
            return silence < Liveness.SILENT_MICROS;
        }

        /** Whether it can be taken in. */
        boolean joins() {
            return alive() && !leaving && place != null && place.lossCounted();
        }
    }

    private final FaultTolerance tolerance;

    MembershipPlanner(FaultTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** How many members there are to be, where there are machines for it. */
    int members() {
        return 2 * tolerance.losses() + 1;
    }

    /** How many backups of so many members: at least the losses, and so many that every majority meets a copy. */
    int backups(int members) {
        return Math.min(members - 1, Math.max(tolerance.losses(), (members - 1) / 2));
    }

    /**
     * The members that are to follow; null for no change. They differ by one: one is exchanged or one is added.
     *
     * @param me the primary, who decides it and never replaces itself
     * @param members the members now, the primary too
     * @param others machines that are none
     */
    List<Member> change(Member me, List<Candidate> members, List<Candidate> others) {
        List<Candidate> joining = others.stream().filter(Candidate::joins).toList();
        for (Candidate one : members) {
            for (Candidate other : others) {
                if (other.alive()
                        && !other.leaving
                        && !one.member.equals(me)
                        && other.silence < one.silence
                        && other.member.ip().equals(one.member.ip())) {
                    return exchanged(members, one, other); // its disk was lost: nobody else will be heard there
                }
            }
        }
        if (joining.isEmpty()) {
            return null;
        }
        Candidate gone = members.stream()
                .filter(one -> !one.member.equals(me) && (one.leaving || one.silence > GONE_MICROS))
                .max(Comparator.comparingLong(Candidate::silence))
                .orElse(null);
        if (gone != null) {
            return best(
                    joining.stream().map(one -> new Step(members, gone, one)).toList());
        }
        if (!members.stream().allMatch(one -> one.alive() && one.place != null)) {
            return null; // more members or others are for calm times only
        }
        if (members.size() < members()) {
            return best(
                    joining.stream().map(one -> new Step(members, null, one)).toList());
        }
        int exposed = exposed(places(members));
        if (2 * (members.size() - exposed) > members.size()) {
            return null;
        }
        List<Step> steps = new ArrayList<>();
        for (Candidate one : members) {
            for (Candidate other : joining) {
                Step step = new Step(members, one, other);
                if (!one.member.equals(me) && exposed(places(step.after())) < exposed) {
                    steps.add(step);
                }
            }
        }
        return steps.isEmpty() ? null : best(steps);
    }

    /** One member exchanged, or one more. */
    private record Step(List<Candidate> members, Candidate out, Candidate in) {
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

    private List<Member> best(List<Step> steps) {
        Step best = steps.stream()
                .min(Comparator.comparingInt(step -> exposed(places(step.after()))))
                .orElseThrow();
        return best.after().stream().map(Candidate::member).toList();
    }

    private static List<Member> exchanged(List<Candidate> members, Candidate out, Candidate in) {
        return new Step(members, out, in)
                .after().stream().map(Candidate::member).toList();
    }

    private static List<Location> places(List<Candidate> of) {
        return of.stream()
                .map(one -> one.place == null ? Location.UNKNOWN : one.place)
                .toList();
    }

    /** Whether a loss that is to be borne leaves more than half of members that stand there. */
    boolean majoritySurvives(List<Location> members) {
        return 2 * (members.size() - exposed(members)) > members.size();
    }

    /** Whether a loss of zones or regions that is to be borne leaves one of the copies that stand there. */
    boolean copySurvives(Collection<Location> copies) {
        return distinct(copies, Location::zone) > tolerance.zones()
                && distinct(copies, Location::region) > tolerance.regions();
    }

    private static long distinct(Collection<Location> places, Function<Location, String> domain) {
        return places.stream().map(domain).distinct().count();
    }

    /** The most members that one loss that is to be borne takes away. */
    private int exposed(List<Location> members) {
        return Math.max(
                Math.min(tolerance.machines(), members.size()),
                Math.max(
                        largest(members, Location::zone, tolerance.zones()),
                        largest(members, Location::region, tolerance.regions())));
    }

    private static int largest(List<Location> members, Function<Location, String> domain, int lost) {
        if (lost == 0) {
            return 0;
        }
        Map<String, Long> counts = members.stream().collect(Collectors.groupingBy(domain, Collectors.counting()));
        return (int) counts.values().stream()
                .sorted(Comparator.reverseOrder())
                .limit(lost)
                .mapToLong(Long::longValue)
                .sum();
    }

    /**
     * The members that hold copies beside the primary, best first; fewer than {@link #backups} where too few can.
     *
     * @param members all members, the primary too
     * @param able ids of those that may be chosen
     * @param preferred ids that are chosen before others of the same worth
     */
    List<String> backups(String primary, List<Candidate> members, Set<String> able, Collection<String> preferred) {
        List<Candidate> pool = new ArrayList<>(members.stream()
                .filter(one ->
                        able.contains(one.member.id()) && !one.member.id().equals(primary))
                .toList());
        List<Location> taken = new ArrayList<>(members.stream()
                .filter(one -> one.member.id().equals(primary))
                .map(Candidate::place)
                .filter(Objects::nonNull)
                .toList());
        List<String> backups = new ArrayList<>();
        while (backups.size() < backups(members.size()) && !pool.isEmpty()) {
            Candidate next = pool.stream()
                    .min(Comparator.comparing((Candidate one) -> one.leaving)
                            .thenComparing(one -> !newDomain(taken, one.place))
                            .thenComparing(one -> !preferred.contains(one.member.id())))
                    .orElseThrow();
            pool.remove(next);
            backups.add(next.member.id());
            if (next.place != null) {
                taken.add(next.place);
            }
        }
        return backups;
    }

    private boolean newDomain(List<Location> taken, Location place) {
        Set<String> zones = taken.stream().map(Location::zone).collect(Collectors.toSet());
        Set<String> regions = taken.stream().map(Location::region).collect(Collectors.toSet());
        return place != null
                && (tolerance.zones() == 0 || !zones.contains(place.zone()))
                && (tolerance.regions() == 0 || !regions.contains(place.region()));
    }

    /** Whether these copies are as they should be: enough, none about to leave, and spread as the losses ask. */
    boolean sound(String primary, List<Candidate> members, Collection<String> backups) {
        Set<String> copies = new HashSet<>(backups);
        copies.add(primary);
        List<Candidate> holding =
                members.stream().filter(one -> copies.contains(one.member.id())).toList();
        boolean spread = holding.stream().anyMatch(one -> one.place == null) || copySurvives(places(holding));
        boolean stays = holding.stream()
                .noneMatch(one -> one.leaving && !one.member.id().equals(primary));
        return holding.size() == 1 + backups(members.size()) && stays && spread;
    }
}
