package gorsemast.registry;

import gorsemast.peer.PeerMessage;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The machines that count, as the store has agreed on them: every number of machines that a registry goes by is of these,
 * never of those that it believes to be up. While the store exchanges a member there are two lists, and each has to be
 * satisfied. A value; any thread.
 *
 * @param term of the store's view; 0 for none yet
 * @param members addresses
 * @param previousMembers the list that is being replaced; empty where none is
 * @param losses how many disks may be lost at the same time, one at the least
 */
public record Membership(long term, Set<String> members, Set<String> previousMembers, int losses) {
    /** Of nobody: nothing is acknowledged and nothing vouched for. */
    public static Membership none(int losses) {
        return new Membership(0, Set.of(), Set.of(), Math.max(1, losses));
    }

    /** As the store on this machine tells it. */
    Membership next(PeerMessage.Members told) {
        return new Membership(
                told.term(), new LinkedHashSet<>(told.members()), new LinkedHashSet<>(told.previousMembers()), losses);
    }

    /** Whether this machine counts. */
    public boolean contains(String ip) {
        return members.contains(ip) || previousMembers.contains(ip);
    }

    /** All that count. */
    public Set<String> all() {
        Set<String> all = new LinkedHashSet<>(members);
        all.addAll(previousMembers);
        return all;
    }

    /** Whether what these hold on disk outlives the losses that are to be borne: one more than may be lost. */
    public boolean isDurableOn(Collection<String> ips) {
        return enough(members, ips, needed(members))
                && (previousMembers.isEmpty() || enough(previousMembers, ips, needed(previousMembers)));
    }

    /** Whether these have a machine in common with all sets that {@link #isDurableOn}. */
    public boolean intersectsDurableSets(Collection<String> ips) {
        return enough(members, ips, members.size() - needed(members) + 1)
                && (previousMembers.isEmpty()
                        || enough(previousMembers, ips, previousMembers.size() - needed(previousMembers) + 1));
    }

    /** Whether these are more than half. */
    public boolean isMajority(Collection<String> ips) {
        return enough(members, ips, members.size() / 2 + 1)
                && (previousMembers.isEmpty() || enough(previousMembers, ips, previousMembers.size() / 2 + 1));
    }

    /**
     * Whether a machine that has compared its news with these has all that any set of holders can have between them:
     * enough that are complete themselves, or all others.
     */
    boolean completes(String self, Collection<String> complete, Collection<String> compared) {
        return completes(members, self, complete, compared)
                && (previousMembers.isEmpty() || completes(previousMembers, self, complete, compared));
    }

    private boolean completes(Set<String> list, String self, Collection<String> complete, Collection<String> compared) {
        Set<String> others = new LinkedHashSet<>(list);
        others.remove(self);
        return enough(others, complete, needed(list)) || !list.isEmpty() && compared.containsAll(others);
    }

    private int needed(Set<String> list) {
        return Math.min(losses + 1, list.size());
    }

    private static boolean enough(Set<String> list, Collection<String> ips, int needed) {
        return !list.isEmpty() && list.stream().filter(ips::contains).count() >= needed;
    }
}
