package gorsemast.registry;

import gorsemast.peer.PeerMessage;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The voting machines as agreed by the store. A registry counts quorums over these only, never over the machines that it
 * believes to be up. While the store replaces a member there are two lists, and a quorum is needed in each. Immutable.
 *
 * @param term the term of the store's view; 0 for none yet
 * @param members addresses of the members
 * @param previousMembers the list that is being replaced; empty if none is
 * @param losses how many disks may be lost at the same time, at least one
 */
public record Membership(long term, Set<String> members, Set<String> previousMembers, int losses) {
    /** Returns the empty membership, under which nothing is acknowledged or confirmed. */
    public static Membership none(int losses) {
        return new Membership(0, Set.of(), Set.of(), Math.max(1, losses));
    }

    /** Returns the membership that the store on this machine reports. */
    Membership updatedBy(PeerMessage.Members message) {
        return new Membership(
                message.term(),
                new LinkedHashSet<>(message.members()),
                new LinkedHashSet<>(message.previousMembers()),
                losses);
    }

    /** Returns whether this machine is a member of either list. */
    public boolean contains(String ip) {
        return members.contains(ip) || previousMembers.contains(ip);
    }

    /** Returns the members of both lists. */
    public Set<String> all() {
        Set<String> all = new LinkedHashSet<>(members);
        all.addAll(previousMembers);
        return all;
    }

    /** Returns whether data on the disks of these machines survives the tolerated losses: one more than may be lost. */
    public boolean isDurableOn(Collection<String> ips) {
        return containsAtLeast(members, ips, requiredHolders(members))
                && (previousMembers.isEmpty()
                        || containsAtLeast(previousMembers, ips, requiredHolders(previousMembers)));
    }

    /** Returns whether these machines intersect every set for which {@link #isDurableOn} holds. */
    public boolean intersectsDurableSets(Collection<String> ips) {
        return containsAtLeast(members, ips, members.size() - requiredHolders(members) + 1)
                && (previousMembers.isEmpty()
                        || containsAtLeast(
                                previousMembers, ips, previousMembers.size() - requiredHolders(previousMembers) + 1));
    }

    /** Returns whether these machines are a majority. */
    public boolean isMajority(Collection<String> ips) {
        return containsAtLeast(members, ips, members.size() / 2 + 1)
                && (previousMembers.isEmpty() || containsAtLeast(previousMembers, ips, previousMembers.size() / 2 + 1));
    }

    /**
     * Returns whether a machine that has compared its state with these members has all that any set of holders can have
     * between them: enough members that are complete themselves, or all other members.
     */
    boolean canComplete(String self, Collection<String> completeMembers, Collection<String> comparedMembers) {
        return canComplete(members, self, completeMembers, comparedMembers)
                && (previousMembers.isEmpty() || canComplete(previousMembers, self, completeMembers, comparedMembers));
    }

    private boolean canComplete(
            Set<String> memberList,
            String self,
            Collection<String> completeMembers,
            Collection<String> comparedMembers) {
        Set<String> others = new LinkedHashSet<>(memberList);
        others.remove(self);
        return containsAtLeast(others, completeMembers, requiredHolders(memberList))
                || !memberList.isEmpty() && comparedMembers.containsAll(others);
    }

    private int requiredHolders(Set<String> memberList) {
        return Math.min(losses + 1, memberList.size());
    }

    private static boolean containsAtLeast(Set<String> memberList, Collection<String> ips, int required) {
        return !memberList.isEmpty()
                && memberList.stream().filter(ips::contains).count() >= required;
    }
}
