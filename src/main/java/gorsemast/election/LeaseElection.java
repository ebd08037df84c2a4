package gorsemast.election;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * A lease-based election of the one process that carries out a duty, as one of several processes sees it.
 *
 * <p>A process that has not heard of a holder for {@link #VACANCY_TIMEOUT_MICROS} requests the next term from all
 * others. Each grants a term once, and none while it has heard of a holder; a majority of the agreed membership wins
 * the term. The holder sends renewals to all, and acts only while a majority has confirmed a renewal that was sent
 * within the last {@link #LEASE_MICROS}. That lease ends before any of them grants another term, whatever the clocks
 * show, as long as they run at about the same speed (leases, Gray and Cheriton 1989). A process that has just started
 * has forgotten what it granted, and grants nothing until that can't matter any more. So two never act at the same
 * time, and a vacancy lasts some seconds at most while a majority is reachable.
 *
 * <p>Nothing is kept on disk. Not thread-safe; times are in microseconds of a monotonic clock. A tick takes O(n).
 */
public final class LeaseElection {
    static final long RENEW_INTERVAL_MICROS = 300_000;
    static final long LEASE_MICROS = 1_000_000;
    static final long VACANCY_TIMEOUT_MICROS = 1_500_000;
    static final long ROUND_MICROS = 400_000;
    private static final long MAX_BACKOFF_MICROS = 1_200_000;

    /** The type of a message about a duty, sent by its ordinal. */
    public enum MessageType {
        /** Requests the vote for a term. */
        REQUEST_TERM,
        /** Grants a requested term, or confirms a renewal. */
        GRANT,
        /** Claims or renews the term; {@code at} comes back with the confirmation. */
        RENEW,
        /** Rejects a request; carries the highest term known. */
        REJECT;

        private static final MessageType[] ALL = values();

        /** Returns the type with this ordinal; null for none. */
        public static MessageType of(int ordinal) {
            return ordinal < ALL.length ? ALL[ordinal] : null;
        }
    }

    /** Sends messages to other processes. */
    public interface Output {
        /** @param at the sender's time, which the answer brings back */
        void send(String to, MessageType type, long term, long at);
    }

    private final String self;
    private final SplittableRandom random;
    private final Output output;
    private final Predicate<Collection<String>> majority;
    private final Set<String> votes = new HashSet<>();
    private final Map<String, Long> confirmations = new HashMap<>();
    private long startedAt = Long.MIN_VALUE;
    private long term;
    private String holder;
    private long holderSeenAt;
    private long backOffUntil;
    private long roundDeadline;
    private long lastRenewalAt;
    private long requestedTerm;

    /**
     * Creates the election as seen by the process with this name.
     *
     * @param majority whether these processes are a majority of the current voters; this process counts only if it has
     *     a vote
     */
    public LeaseElection(String self, long seed, Predicate<Collection<String>> majority, Output output) {
        this.self = self;
        this.majority = majority;
        this.random = new SplittableRandom(seed);
        this.output = output;
    }

    /** Returns whether this process may act now. */
    public boolean isActive(long now) {
        if (!self.equals(holder)) {
            return false;
        }
        Set<String> confirming = new HashSet<>(Set.of(self));
        confirmations.forEach((ip, at) -> {
            if (now - at < LEASE_MICROS) {
                confirming.add(ip);
            }
        });
        return majority.test(confirming);
    }

    /** Returns the holder as far as known; null for none. */
    public String holder() {
        return holder;
    }

    /** Runs the periodic work; call it a few times a second, with the processes that are reachable. */
    public void tick(long now, Collection<String> others) {
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
            holderSeenAt = now; // there may be a holder, which will be heard by then
            backOff(now);
        }
        if (self.equals(holder)) {
            if (!isActive(now) && now - holderSeenAt > LEASE_MICROS) {
                holder = null; // it was not confirmed, and another process may hold it by now
                holderSeenAt = now;
                backOff(now);
                return;
            }
            if (now - lastRenewalAt >= RENEW_INTERVAL_MICROS) {
                lastRenewalAt = now;
                others.forEach(other -> output.send(other, MessageType.RENEW, term, now));
            }
            return;
        }
        if (now - holderSeenAt > VACANCY_TIMEOUT_MICROS
                && now >= backOffUntil
                && now >= roundDeadline
                && majority.test(withSelf(others))) {
            holder = null;
            term++;
            requestedTerm = term;
            votes.clear();
            votes.add(self);
            roundDeadline = now + ROUND_MICROS;
            backOffUntil = roundDeadline + random.nextLong(MAX_BACKOFF_MICROS);
            others.forEach(other -> output.send(other, MessageType.REQUEST_TERM, term, now));
            tryWin(now);
        }
    }

    private Set<String> withSelf(Collection<String> others) {
        Set<String> all = new HashSet<>(others);
        all.add(self);
        return all;
    }

    private void backOff(long now) {
        backOffUntil = now + random.nextLong(MAX_BACKOFF_MICROS);
    }

    private void tryWin(long now) {
        if (requestedTerm == term && now < roundDeadline && majority.test(votes)) {
            holder = self;
            requestedTerm = 0;
            holderSeenAt = now;
            lastRenewalAt = now - RENEW_INTERVAL_MICROS;
            confirmations.clear();
        }
    }

    /** Handles a message from another process. */
    public void receive(long now, String from, MessageType type, long messageTerm, long at) {
        switch (type) {
            case REQUEST_TERM -> {
                boolean remembersGrants = startedAt != Long.MIN_VALUE && now - startedAt > VACANCY_TIMEOUT_MICROS;
                if (remembersGrants
                        && messageTerm > term
                        && now - holderSeenAt > VACANCY_TIMEOUT_MICROS
                        && !self.equals(holder)) {
                    term = messageTerm; // so this term is granted to nobody else
                    requestedTerm = 0;
                    holderSeenAt = now; // the grant counts as a confirmation and must last as long as one
                    backOff(now);
                    output.send(from, MessageType.GRANT, messageTerm, at);
                } else if (messageTerm <= term) {
                    output.send(from, MessageType.REJECT, term, at);
                }
            }
            case REJECT -> term = self.equals(holder) ? term : Math.max(term, messageTerm);
            case GRANT -> {
                if (self.equals(holder) && messageTerm == term) {
                    confirmations.merge(from, at, Math::max);
                    holderSeenAt = isActive(now) ? now : holderSeenAt;
                } else if (messageTerm == requestedTerm) {
                    votes.add(from);
                    tryWin(now);
                }
            }
            case RENEW -> {
                if (messageTerm > term || messageTerm == term && !self.equals(holder)) {
                    term = messageTerm;
                    holder = from;
                    requestedTerm = 0;
                    holderSeenAt = now;
                    output.send(from, MessageType.GRANT, messageTerm, at);
                }
            }
        }
    }
}
