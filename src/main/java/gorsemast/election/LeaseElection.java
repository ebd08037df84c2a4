package gorsemast.election;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Something that one of several processes does, as one of them sees it. It is won by a round of ballots whenever it has
 * fallen vacant.
 *
 * <p><b>Idea.</b> Who has not heard of a holder for {@link #VACANT_MICROS} asks all others for the next term; each grants a
 * term once, and none while it has heard of a holder; more than half of the agreed membership win it. The holder tells all that it holds it, and
 * acts only while more than half have confirmed what it told within {@link #LEASE_MICROS}, counted from when it told them:
 * that is over before any of them grants another term, whatever the clocks show, as long as they run at about one speed
 * (leases, Gray and Cheriton 1989). Who has just started has forgotten what it granted, and grants nothing until that can't
 * matter any more. So never two act at once, and a vacancy lasts some seconds at most while more than half are reached.
 *
 * <p>Nothing is kept on disk. Times in microseconds of a clock that never goes back; one thread. O(n) a tick.
 */
public final class LeaseElection {
    static final long TELL_MICROS = 300_000;
    static final long LEASE_MICROS = 1_000_000;
    static final long VACANT_MICROS = 1_500_000;
    static final long ROUND_MICROS = 400_000;
    private static final long STAND_BACK_MICROS = 1_200_000;

    /** What is said of a duty. */
    public enum MessageType {
        /** May I have this term? */
        REQUEST_TERM,
        /** You may; also: I know that you hold it. */
        GRANT,
        /** I hold this term; {@code at} comes back with the answer. */
        RENEW,
        /** You may not; terms have come as far as this. */
        REJECT;

        private static final MessageType[] ALL = values();

        /** The word of this number; null for none. */
        public static MessageType of(int number) {
            return number < ALL.length ? ALL[number] : null;
        }
    }

    /** Says it to another process. */
    public interface Output {
        /** @param at the sender's time, which an answer brings back */
        void send(String to, MessageType word, long term, long at);
    }

    private final String self;
    private final SplittableRandom random;
    private final Output out;
    private final Predicate<Collection<String>> majority;
    private final Set<String> votes = new HashSet<>();
    private final Map<String, Long> confirmed = new HashMap<>();
    private long begunAt = Long.MIN_VALUE;
    private long term;
    private String holder;
    private long heardAt;
    private long standBackUntil;
    private long roundUntil;
    private long toldAt;
    private long asked;

    /**
     * Of the process with this name.
     *
     * @param majority whether these are more than half of those that have a vote, as it is agreed now; this process
     *     among them only where it has one
     */
    public LeaseElection(String self, long seed, Predicate<Collection<String>> majority, Output out) {
        this.self = self;
        this.majority = majority;
        this.random = new SplittableRandom(seed);
        this.out = out;
    }

    /** Whether this process is to act now. */
    public boolean isActive(long now) {
        if (!self.equals(holder)) {
            return false;
        }
        Set<String> fresh = new HashSet<>(Set.of(self));
        confirmed.forEach((ip, at) -> {
            if (now - at < LEASE_MICROS) {
                fresh.add(ip);
            }
        });
        return majority.test(fresh);
    }

    /** Who holds it, as far as is known; null for nobody. */
    public String holder() {
        return holder;
    }

    /** To be called a few times a second, with those that are reached. */
    public void tick(long now, Collection<String> others) {
        if (begunAt == Long.MIN_VALUE) {
            begunAt = now;
            heardAt = now; // somebody may hold it; it would be heard of by then
            standBack(now);
        }
        if (self.equals(holder)) {
            if (!isActive(now) && now - heardAt > LEASE_MICROS) {
                holder = null; // it could not be confirmed, and others may have it by now
                heardAt = now;
                standBack(now);
                return;
            }
            if (now - toldAt >= TELL_MICROS) {
                toldAt = now;
                others.forEach(other -> out.send(other, MessageType.RENEW, term, now));
            }
            return;
        }
        if (now - heardAt > VACANT_MICROS
                && now >= standBackUntil
                && now >= roundUntil
                && majority.test(withSelf(others))) {
            holder = null;
            term++;
            asked = term;
            votes.clear();
            votes.add(self);
            roundUntil = now + ROUND_MICROS;
            standBackUntil = roundUntil + random.nextLong(STAND_BACK_MICROS);
            others.forEach(other -> out.send(other, MessageType.REQUEST_TERM, term, now));
            win(now);
        }
    }

    private Set<String> withSelf(Collection<String> others) {
        Set<String> all = new HashSet<>(others);
        all.add(self);
        return all;
    }

    private void standBack(long now) {
        standBackUntil = now + random.nextLong(STAND_BACK_MICROS);
    }

    private void win(long now) {
        if (asked == term && now < roundUntil && majority.test(votes)) {
            holder = self;
            asked = 0;
            heardAt = now;
            toldAt = now - TELL_MICROS;
            confirmed.clear();
        }
    }

    /** Another process has said something. */
    public void receive(long now, String from, MessageType word, long itsTerm, long at) {
        switch (word) {
            case REQUEST_TERM -> {
                boolean knows = begunAt != Long.MIN_VALUE && now - begunAt > VACANT_MICROS;
                if (knows && itsTerm > term && now - heardAt > VACANT_MICROS && !self.equals(holder)) {
                    term = itsTerm; // and so never again to anybody
                    asked = 0;
                    heardAt = now; // its word counts as a confirmation, and must hold as long as one
                    standBack(now);
                    out.send(from, MessageType.GRANT, itsTerm, at);
                } else if (itsTerm <= term) {
                    out.send(from, MessageType.REJECT, term, at);
                }
            }
            case REJECT -> term = self.equals(holder) ? term : Math.max(term, itsTerm);
            case GRANT -> {
                if (self.equals(holder) && itsTerm == term) {
                    confirmed.merge(from, at, Math::max);
                    heardAt = isActive(now) ? now : heardAt;
                } else if (itsTerm == asked) {
                    votes.add(from);
                    win(now);
                }
            }
            case RENEW -> {
                if (itsTerm > term || itsTerm == term && !self.equals(holder)) {
                    term = itsTerm;
                    holder = from;
                    asked = 0;
                    heardAt = now;
                    out.send(from, MessageType.GRANT, itsTerm, at);
                }
            }
        }
    }
}
