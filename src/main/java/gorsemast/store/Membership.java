package gorsemast.store;

import gorsemast.node.FaultTolerance;
import gorsemast.store.MembershipPlanner.Candidate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What one replica knows of the others and what it would have changed: its {@link Liveness}, the choices of
 * {@link MembershipPlanner} on it, and whether its own process leaves. It decides nothing that safety rests on: whatever it
 * asks for goes through an election. One caller; times in microseconds of the caller's clock.
 */
final class Membership {
    /** A primary looks no more often than this whether members or copies could be better. */
    static final long LOOK_MICROS = 100_000;
    /** It asks for other members, or other copies, no more often than this, but for one that leaves. */
    static final long AGAIN_MICROS = 1_000_000;
    /** What a leaving member that holds a copy waits for, at most, where nobody is there to take its place. */
    static final long HAND_OVER_MICROS = 600_000;

    private static final int MOST_TOLD = 16;

    /**
     * What a primary should do.
     *
     * @param members the members that are to follow; null for an election among those that there are
     * @param reason for the operator
     */
    record Step(List<Member> members, String reason) {}

    final Liveness liveness = new Liveness();
    private final MembershipPlanner planner;
    private final Location place;
    private final Set<String> told = new HashSet<>();
    private boolean leaving;
    private long leavingSince;
    private long lookAt;
    private long changeAt;

    Membership(FaultTolerance tolerance, Location place) {
        this.planner = new MembershipPlanner(tolerance);
        this.place = place;
    }

    Location place() {
        return place;
    }

    boolean leaving() {
        return leaving;
    }

    /** Whether the own process leaves and another member, which stays, can lead in its place. */
    boolean yields(View view, Member me, long now) {
        return leaving
                && view.members().stream()
                        .anyMatch(
                                one -> !one.equals(me) && liveness.alive(one.id(), now) && !liveness.leaving(one.id()));
    }

    /** The own process was asked to end. */
    void leave(long now) {
        leaving = true;
        leavingSince = now;
    }

    /** Another one was asked to end; looked at by the next tick. */
    void leaves(String id) {
        liveness.leaves(id);
        lookAt = Long.MIN_VALUE;
        changeAt = Long.MIN_VALUE;
    }

    /** What a primary should do now for members and copies; null for nothing. */
    Step step(View view, Member me, long now) {
        if (now < lookAt || yields(view, me, now) || !view.previousMembers().isEmpty()) {
            return null;
        }
        lookAt = now + LOOK_MICROS;
        List<Candidate> members = candidates(view.members(), me, now);
        List<Candidate> others = candidates(liveness.others(view), me, now);
        List<Member> change = now < changeAt ? null : planner.change(me, members, others);
        if (change != null) {
            changeAt = now + AGAIN_MICROS;
            return new Step(change, exchanged(view.members(), change));
        }
        if (view.backups().stream().anyMatch(id -> liveness.silence(id, now) > Liveness.SILENT_MICROS)) {
            return new Step(null, "has lost a backup of term " + view.term());
        }
        boolean alive = view.backups().stream().allMatch(id -> liveness.alive(id, now));
        if (alive && now >= changeAt && !planner.sound(me.id(), members, view.backups())) {
            changeAt = now + AGAIN_MICROS;
            List<String> better = planner.backups(me.id(), members, liveness.alive(now), view.backups());
            if (planner.sound(me.id(), members, better)) {
                return new Step(null, "moves its copies to " + better);
            }
        }
        return null;
    }

    /** What the machines do not allow, in a sentence that was not said before; null for nothing. */
    String lacks(View view, Member me, long now) {
        List<Candidate> members = candidates(view.members(), me, now);
        boolean known = members.stream().allMatch(one -> one.place() != null);
        if (!known || now < changeAt || told.size() >= MOST_TOLD) {
            return null;
        }
        String sentence = null;
        if (!planner.majoritySurvives(members.stream().map(Candidate::place).toList())) {
            sentence =
                    "members " + ids(view.members()) + " do not keep a majority after each loss that is to be borne: "
                            + planner.members() + " are wanted, spread over zones or regions";
        } else if (!planner.sound(me.id(), members, view.backups())) {
            sentence = "copies at " + me.id() + " and " + view.backups()
                    + " do not outlive each loss that is to be borne, and can't be placed better now";
        }
        return sentence != null && told.add(sentence) ? sentence : null;
    }

    private static String exchanged(List<Member> before, List<Member> after) {
        List<String> joining = ids(after);
        joining.removeAll(ids(before));
        List<String> going = ids(before);
        going.removeAll(ids(after));
        return "takes in " + String.join(", ", joining)
                + (going.isEmpty() ? " as one more" : " for " + String.join(", ", going));
    }

    /** Ids of members; a new list. */
    static List<String> ids(Collection<Member> members) {
        return new ArrayList<>(members.stream().map(Member::id).toList());
    }

    private List<Candidate> candidates(List<Member> of, Member me, long now) {
        return of.stream()
                .map(one -> one.equals(me)
                        ? new Candidate(me, 0, leaving, place)
                        : new Candidate(
                                one,
                                liveness.silence(one.id(), now),
                                liveness.leaving(one.id()),
                                liveness.place(one.id())))
                .toList();
    }

    /**
     * The backups of a term that has been voted for; null while there are too few, or while it is worth waiting for the
     * votes of better ones.
     *
     * @param view the candidate's view, which the votes are of
     * @param proposed the members of the term
     * @param patient whether it is early enough to wait
     */
    List<String> backups(View view, List<Member> proposed, Member me, Set<String> granted, boolean patient, long now) {
        Set<String> able = new HashSet<>(granted);
        proposed.stream()
                .filter(one -> !view.isVoter(one.id()) && liveness.alive(one.id(), now))
                .forEach(one -> able.add(one.id())); // who joins has given no promise in this view that it could break
        List<Candidate> members = candidates(proposed, me, now);
        List<String> backups = planner.backups(me.id(), members, able, view.backups());
        Set<String> awaited = liveness.alive(now);
        awaited.retainAll(ids(view.voters()));
        boolean waits = patient && !granted.containsAll(awaited);
        boolean enough = backups.size() >= planner.backups(proposed.size());
        return enough && !(waits && !planner.sound(me.id(), members, backups)) ? backups : null;
    }

    /** Whether a leaving process may end, as {@link Replica#mayStop} says. */
    boolean left(View view, Member me, boolean copy, long now) {
        if (!view.isVoter(me.id())) {
            // Until then somebody may still need its vote, by the list of which it was one.
            return view.isMajority(view.members().stream()
                    .map(Member::id)
                    .filter(id -> liveness.settled(id) >= view.term())
                    .toList());
        }
        boolean joint = !view.previousMembers().isEmpty(); // its successor is a member already, and holds nothing yet
        if (joint || candidates(liveness.others(view), me, now).stream().anyMatch(Candidate::joins)) {
            return false;
        }
        boolean others = view.voters().stream().anyMatch(one -> liveness.alive(one.id(), now));
        return !copy || !others || now - leavingSince > HAND_OVER_MICROS;
    }
}
