package gorsemast.store;

import gorsemast.node.FaultTolerance;
import gorsemast.store.MembershipPlanner.Candidate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The membership as one replica sees it: its {@link Liveness}, the choices of {@link MembershipPlanner} based on it,
 * and whether its own process is leaving. No safety property relies on it, as every change goes through an election.
 * Not thread-safe; times are in microseconds of the caller's clock.
 */
final class Membership {
    /** Minimum interval at which a primary checks whether members or copies could be placed better. */
    static final long CHECK_INTERVAL_MICROS = 100_000;
    /** Minimum interval between changes of members or copies, except for a member that leaves. */
    static final long CHANGE_INTERVAL_MICROS = 1_000_000;
    /** How long a leaving member that holds a copy waits, at most, where there is no spare to replace it. */
    static final long HANDOVER_TIMEOUT_MICROS = 600_000;

    private static final int MAX_REPORTS = 16;

    /**
     * An election that a primary should start.
     *
     * @param members the proposed members; null to keep the current ones
     * @param reason the log message for the operator
     */
    record Action(List<Member> members, String reason) {}

    final Liveness liveness = new Liveness();
    private final MembershipPlanner planner;
    private final Location location;
    private final Set<String> reported = new HashSet<>();
    private boolean leaving;
    private long leavingSince;
    private long nextCheckAt;
    private long nextChangeAt;

    Membership(FaultTolerance tolerance, Location location) {
        this.planner = new MembershipPlanner(tolerance);
        this.location = location;
    }

    Location location() {
        return location;
    }

    boolean leaving() {
        return leaving;
    }

    /** Returns whether the own process is leaving and another member, which stays, can lead instead. */
    boolean canHandOver(View view, Member self, long now) {
        return leaving
                && view.members().stream()
                        .anyMatch(member -> !member.equals(self)
                                && liveness.isAlive(member.id(), now)
                                && !liveness.isLeaving(member.id()));
    }

    /** Records that the own process was asked to end. */
    void startLeaving(long now) {
        leaving = true;
        leavingSince = now;
    }

    /** Records that another member was asked to end; the next tick considers it. */
    void markLeaving(String id) {
        liveness.markLeaving(id);
        nextCheckAt = Long.MIN_VALUE;
        nextChangeAt = Long.MIN_VALUE;
    }

    /** Returns what a primary should do now about members and copies; null for nothing. */
    Action nextAction(View view, Member self, long now) {
        if (now < nextCheckAt
                || canHandOver(view, self, now)
                || !view.previousMembers().isEmpty()) {
            return null;
        }
        nextCheckAt = now + CHECK_INTERVAL_MICROS;
        List<Candidate> members = candidates(view.members(), self, now);
        List<Candidate> others = candidates(liveness.nonMembers(view), self, now);
        List<Member> change = now < nextChangeAt ? null : planner.planChange(self, members, others);
        if (change != null) {
            nextChangeAt = now + CHANGE_INTERVAL_MICROS;
            return new Action(change, describeChange(view.members(), change));
        }
        if (view.backups().stream()
                .anyMatch(id -> liveness.silenceMicros(id, now) > Liveness.HEARTBEAT_TIMEOUT_MICROS)) {
            return new Action(null, "has lost a backup of term " + view.term());
        }
        boolean alive = view.backups().stream().allMatch(id -> liveness.isAlive(id, now));
        if (alive && now >= nextChangeAt && !planner.areSound(self.id(), members, view.backups())) {
            nextChangeAt = now + CHANGE_INTERVAL_MICROS;
            List<String> better = planner.chooseBackups(self.id(), members, liveness.aliveIds(now), view.backups());
            if (planner.areSound(self.id(), members, better)) {
                return new Action(null, "moves its copies to " + better);
            }
        }
        return null;
    }

    /** Returns a message on losses that the current machines can't tolerate, unless logged before; null for none. */
    String newShortfall(View view, Member self, long now) {
        List<Candidate> members = candidates(view.members(), self, now);
        boolean located = members.stream().allMatch(member -> member.location() != null);
        if (!located || now < nextChangeAt || reported.size() >= MAX_REPORTS) {
            return null;
        }
        String message = null;
        if (!planner.majoritySurvives(members.stream().map(Candidate::location).toList())) {
            message = "members " + ids(view.members()) + " do not keep a majority after every tolerated loss: "
                    + planner.targetMemberCount() + " members are needed, spread over zones or regions";
        } else if (!planner.areSound(self.id(), members, view.backups())) {
            message = "copies at " + self.id() + " and " + view.backups()
                    + " do not survive every tolerated loss and can't be placed better now";
        }
        return message != null && reported.add(message) ? message : null;
    }

    private static String describeChange(List<Member> before, List<Member> after) {
        List<String> joining = ids(after);
        joining.removeAll(ids(before));
        List<String> removed = ids(before);
        removed.removeAll(ids(after));
        return "takes in " + String.join(", ", joining)
                + (removed.isEmpty() ? " as an additional member" : " for " + String.join(", ", removed));
    }

    /** Returns the ids of members in a new list. */
    static List<String> ids(Collection<Member> members) {
        return new ArrayList<>(members.stream().map(Member::id).toList());
    }

    private List<Candidate> candidates(List<Member> of, Member self, long now) {
        return of.stream()
                .map(member -> member.equals(self)
                        ? new Candidate(self, 0, leaving, location)
                        : new Candidate(
                                member,
                                liveness.silenceMicros(member.id(), now),
                                liveness.isLeaving(member.id()),
                                liveness.location(member.id())))
                .toList();
    }

    /**
     * Chooses the backups of a term that has been voted for; null while there are too few, or while it is worth waiting
     * for the votes of better placed members.
     *
     * @param view the candidate's view, in which the votes were granted
     * @param proposed the members of the new term
     * @param mayWait whether it is early enough to wait
     */
    List<String> chooseBackups(
            View view, List<Member> proposed, Member self, Set<String> granted, boolean mayWait, long now) {
        Set<String> able = new HashSet<>(granted);
        proposed.stream()
                .filter(member -> !view.isVoter(member.id()) && liveness.isAlive(member.id(), now))
                .forEach(member -> able.add(member.id())); // a joining member has given no promise in this view
        List<Candidate> members = candidates(proposed, self, now);
        List<String> backups = planner.chooseBackups(self.id(), members, able, view.backups());
        Set<String> awaited = liveness.aliveIds(now);
        awaited.retainAll(ids(view.voters()));
        boolean waits = mayWait && !granted.containsAll(awaited);
        boolean enough = backups.size() >= planner.backupCount(proposed.size());
        return enough && !(waits && !planner.areSound(self.id(), members, backups)) ? backups : null;
    }

    /** Returns whether a leaving process may end, as specified by {@link Replica#mayStop}. */
    boolean mayStop(View view, Member self, boolean holdsCopy, long now) {
        if (!view.isVoter(self.id())) {
            // Until a majority has this view, the old members may still need its vote.
            return view.isMajority(view.members().stream()
                    .map(Member::id)
                    .filter(id -> liveness.settledTerm(id) >= view.term())
                    .toList());
        }
        boolean joint = !view.previousMembers().isEmpty(); // its successor is a member already but stores nothing yet
        if (joint || candidates(liveness.nonMembers(view), self, now).stream().anyMatch(Candidate::canJoin)) {
            return false;
        }
        boolean others = view.voters().stream().anyMatch(member -> liveness.isAlive(member.id(), now));
        return !holdsCopy || !others || now - leavingSince > HANDOVER_TIMEOUT_MICROS;
    }
}
