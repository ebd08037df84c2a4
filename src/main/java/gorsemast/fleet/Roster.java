package gorsemast.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All processes that are known, the dead among them, and digests of that by buckets.
 *
 * <p><b>Idea.</b> Two views that differ are found by comparing digests of a fixed number of buckets (anti-entropy, as
 * in Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987); the live alone count there,
 * as the dead are forgotten at different times. The dead are kept so that old words of them don't raise them, and so
 * that the halves of a partition find each other again; beyond a bound those go first that died first.
 *
 * <p>O(live + {@code remembered}) memory; O(1) to put one, O(n) for the digest of the view after a change. One thread.
 */
final class Roster {
    /** So many buckets fit in a datagram as eight bytes each, with room for the rest. */
    static final int BUCKETS = 64;

    /** One process as it is known here. */
    static final class Member {
        Claim claim;
        /** When its state here became what it is. */
        long since;
        /** Why it is in that state, in words. */
        String why;
        /** When a datagram of its own came last; {@link Long#MIN_VALUE} for never. */
        long heardAt = Long.MIN_VALUE;
        /** While it is suspected. */
        Suspicion suspicion;
        /** When it is to be tried again, while it is held dead, and how long to wait after that. */
        long tryAt;

        long pause;

        Member(Claim claim, long now, String why) {
            this.claim = claim;
            this.since = now;
            this.why = why;
        }

        boolean live() {
            return claim.state().live();
        }
    }

    private final Map<ProcessId, Member> members = new TreeMap<>();
    private final Map<String, Member> byAddress = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private final int remembered;
    private final MessageDigest sha;
    private int live;
    private long digest;
    private boolean stale = true;

    /** One that keeps at most so many of the dead. */
    Roster(int remembered) {
        this.remembered = remembered;
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    Member get(ProcessId id) {
        return members.get(id);
    }

    /** The live process at an address, as far as it is known; null for none. */
    Member at(String address) {
        return byAddress.get(address);
    }

    Collection<Member> all() {
        return members.values();
    }

    int live() {
        return live;
    }

    int size() {
        return members.size();
    }

    /** Puts a new one, or another claim of a known one; returns it. */
    Member put(long now, Claim claim, String why) {
        Member member = members.get(claim.id());
        if (member == null) {
            member = new Member(claim, now, why);
            members.put(claim.id(), member);
        } else {
            uncount(member);
            if (member.claim.state() != claim.state()) {
                member.since = now;
                member.why = why;
            }
            member.claim = claim;
        }
        if (member.live()) {
            live++;
            buckets[bucket(claim.id())] ^= hash(claim.toString());
            byAddress.put(claim.address(), member);
        }
        stale = true;
        if (members.size() - live > remembered) {
            forgetOldest();
        }
        return member;
    }

    private void uncount(Member member) {
        if (member.live()) {
            live--;
            buckets[bucket(member.claim.id())] ^= hash(member.claim.toString());
            byAddress.remove(member.claim.address(), member);
        }
    }

    private void forgetOldest() {
        members.values().stream()
                .filter(m -> !m.live())
                .min(Comparator.comparingLong(m -> m.since))
                .ifPresent(m -> members.remove(m.claim.id()));
    }

    /** Forgets those that have been dead since before {@code time}. */
    void forgetBefore(long time) {
        members.values().removeIf(m -> !m.live() && m.since < time);
    }

    /** Whether this is a later generation of a name than any other that is known. */
    boolean latest(ProcessId id) {
        return members.keySet().stream()
                .noneMatch(other -> other.name().equals(id.name()) && other.generation() > id.generation());
    }

    static int bucket(ProcessId id) {
        return Math.floorMod(id.name().hashCode(), BUCKETS);
    }

    List<Long> buckets() {
        List<Long> copy = new ArrayList<>(BUCKETS);
        for (long bucket : buckets) {
            copy.add(bucket);
        }
        return copy;
    }

    /** The buckets that differ from the other's, as a bit mask. */
    long differing(List<Long> other) {
        long mask = 0;
        for (int i = 0; i < BUCKETS && i < other.size(); i++) {
            mask |= other.get(i) != buckets[i] ? 1L << i : 0;
        }
        return mask;
    }

    /** The digest of all that live, by name and generation: equal where two see the same fleet. */
    long digest() {
        if (stale) {
            for (Member member : members.values()) {
                if (member.live()) {
                    sha.update(member.claim.id().toString().getBytes(StandardCharsets.US_ASCII));
                    sha.update((byte) '\n');
                }
            }
            digest = ByteBuffer.wrap(sha.digest()).getLong();
            stale = false;
        }
        return digest;
    }

    private long hash(String text) {
        return ByteBuffer.wrap(sha.digest(text.getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }
}
