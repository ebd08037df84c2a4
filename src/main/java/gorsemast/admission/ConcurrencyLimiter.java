package gorsemast.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits how many slow requests are served at the same time, so that sockets remain for the others.
 *
 * <p>A request that needs another machine, or whose response is long, holds its client's socket meanwhile. If such
 * requests could hold all sockets, later ones would wait in the accept queue, where their age is unknown and they can
 * neither be answered nor dropped once their clients have left. That queue is first in, first out, and once it is
 * longer than the clients' patience all work is done for clients that have left. So there are fewer slots than sockets,
 * and a request that finds no free slot is refused at once; the remaining sockets serve requests that take no time.
 *
 * <p>Requests of a kind that usually holds a slot for longer than its target latency get only a part of the slots, so
 * that long responses alone can't take all of them. The usual hold time is learned from earlier requests.
 *
 * <p>A request of a kind whose demand is well under its fair share of the slots may wait briefly on one of the other
 * sockets and gets the next slot that is released. The kind with the lowest demand goes first; a waiting request that
 * is displaced is refused. So a rarely requested kind is served beside busy ones whose clients keep retrying, and no
 * slot is left idle for it. Demand counts, not the slots obtained: a kind that obtains few because it requests far too
 * much would otherwise have each of its requests wait, and their sockets could serve nobody else.
 *
 * <p>Drawbacks: requests that could have waited briefly are refused and retry, which costs a connection; while a
 * request waits in vain nobody else is accepted on its socket. O(1), and O(recent kinds) where no slot is free; one
 * record for each kind; no clock, no I/O; one thread; times in microseconds.
 */
public final class ConcurrencyLimiter {
    /** Number of slots that stands for no limit: nothing is refused and nothing is counted. */
    public static final int UNBOUNDED = Integer.MAX_VALUE;

    private static final double AVERAGE_WEIGHT = 0.1;
    /** With more kinds than this, those that hold no slot are forgotten. */
    private static final int MAX_KINDS = 4_096;
    /** Time constant of the average of a kind's request rate. */
    private static final double DECAY_MICROS = 1e6;
    /** A kind that demands fewer slots on average is not counted for the fair shares. */
    private static final double MIN_DEMAND = 0.01;
    /** Requests of a kind that demands less than this fraction of its fair share may wait. */
    private static final double LOW_DEMAND_FRACTION = 0.5;
    /** Minimum hold time for the demand: a request that fails at once, as a resource is in use, still needed a slot. */
    private static final long MIN_HOLD_MICROS = 20_000;
    /** Longest wait for a slot; half of the target latency is a bound too. */
    private static final long MAX_WAIT_MICROS = 100_000;

    /**
     * Requests that share their statistics and limits.
     *
     * @param name key of the statistics
     * @param targetLatencyMicros target latency of their responses
     * @param maxSlotsIfSlow slots that they may hold if they usually take longer than that
     */
    public record Kind(String name, long targetLatencyMicros, int maxSlotsIfSlow) {
        /** How long a request of this kind may wait for a slot. */
        public long maxWaitMicros() {
            return Math.min(MAX_WAIT_MICROS, targetLatencyMicros / 2);
        }
    }

    /** Receives the decision on a queued request, once, unless the request is withdrawn or expires. */
    public interface Waiter {
        /** The request has got a released slot. */
        void admitted();

        /** The request was displaced by another. */
        void refused();
    }

    /** The immediate decision on a request. */
    public enum Admission {
        /** It has a slot, which {@link #release} gives back. */
        ADMITTED,
        /** Its waiter is called later, unless it is withdrawn or expires. */
        QUEUED,
        /** It gets no slot. */
        REFUSED
    }

    /** The statistics of a kind. */
    private static final class Usage {
        private int slotsHeld;
        /** Moving average of how long a request holds a slot; NaN before the first. */
        private double averageHoldMicros = Double.NaN;
        /** Exponentially decaying count of its requests, as of {@code countedAt}. */
        private double requestCount;

        private long countedAt;

        private double recentRequests(long now) {
            return requestCount * Math.exp(-Math.max(0, now - countedAt) / DECAY_MICROS);
        }

        void countRequest(long now) {
            requestCount = recentRequests(now) + 1;
            countedAt = now;
        }

        /** Slots that it would hold on average if no request were refused; until that is known, those that it holds. */
        double demand(long now) {
            return Double.isNaN(averageHoldMicros)
                    ? slotsHeld
                    : recentRequests(now) * Math.max(MIN_HOLD_MICROS, averageHoldMicros) / DECAY_MICROS;
        }
    }

    private record Waiting(Kind kind, Waiter waiter) {}

    private final int slots;
    private final int maxWaiting;
    private final Map<String, Usage> kinds = new HashMap<>();
    private final List<Waiting> queue = new ArrayList<>();
    private int inUse;
    /** Whether a request has expired since a slot was last released. */
    private boolean expiredSinceRelease;

    /**
     * Creates a limiter.
     *
     * @param slots number of slots; {@link #UNBOUNDED} for no limit
     * @param maxWaiting how many requests may wait for a slot
     */
    public ConcurrencyLimiter(int slots, int maxWaiting) {
        this.slots = Math.max(1, slots);
        this.maxWaiting = maxWaiting;
    }

    /** Requests a slot; if the request is queued, {@code waiter} receives the decision. */
    public Admission acquire(Kind kind, long now, Waiter waiter) {
        if (slots == UNBOUNDED) {
            return Admission.ADMITTED;
        }
        Usage usage = usage(kind);
        usage.countRequest(now);
        if (usage.slotsHeld >= Math.max(1, kind.maxSlotsIfSlow) && usage.averageHoldMicros > kind.targetLatencyMicros) {
            return Admission.REFUSED;
        }
        if (inUse < slots) {
            occupySlot(usage);
            return Admission.ADMITTED;
        }
        return !expiredSinceRelease && hasLowDemand(usage, now) && enqueue(new Waiting(kind, waiter), now)
                ? Admission.QUEUED
                : Admission.REFUSED;
    }

    private Usage usage(Kind kind) {
        return kinds.computeIfAbsent(kind.name, name -> new Usage());
    }

    private void occupySlot(Usage usage) {
        inUse++;
        usage.slotsHeld++;
    }

    private boolean hasLowDemand(Usage usage, long now) {
        long active = kinds.values().stream()
                .filter(other -> other != usage && other.demand(now) > MIN_DEMAND)
                .count();
        return usage.demand(now) < LOW_DEMAND_FRACTION * slots / (active + 1);
    }

    /** Queues the request, if need be in place of one whose kind has more demand; returns whether it is queued. */
    private boolean enqueue(Waiting request, long now) {
        if (queue.size() >= maxWaiting) {
            Waiting highest = highestDemand(now);
            if (highest == null || demandOf(highest, now) <= demandOf(request, now)) {
                return false;
            }
            queue.remove(highest);
            queue.add(request);
            highest.waiter.refused();
        } else {
            queue.add(request);
        }
        return true;
    }

    private double demandOf(Waiting request, long now) {
        return usage(request.kind).demand(now);
    }

    private Waiting highestDemand(long now) {
        Waiting highest = null;
        for (Waiting request : queue) {
            if (highest == null || demandOf(request, now) > demandOf(highest, now)) {
                highest = request;
            }
        }
        return highest;
    }

    private Waiting lowestDemand(long now) {
        Waiting lowest = null;
        for (Waiting request : queue) {
            if (lowest == null || demandOf(request, now) < demandOf(lowest, now)) {
                lowest = request;
            }
        }
        return lowest;
    }

    /** Removes a queued request whose client has left; its waiter is not called. Returns whether it was queued. */
    public boolean withdraw(Waiter waiter) {
        return queue.removeIf(request -> request.waiter == waiter);
    }

    /**
     * Removes a queued request that has waited for its maximum time; its waiter is not called. Returns whether it was
     * queued. As no slot was released in that time, the next requests would wait in vain too, each on a socket that
     * could serve others: until a slot is released no request is queued.
     */
    public boolean expire(Waiter waiter) {
        boolean wasQueued = withdraw(waiter);
        expiredSinceRelease |= wasQueued;
        return wasQueued;
    }

    /** Releases the slot of a request, which it held for this long. */
    public void release(Kind kind, long heldMicros, long now) {
        if (slots == UNBOUNDED) {
            return;
        }
        inUse--;
        expiredSinceRelease = false;
        Usage usage = usage(kind);
        usage.slotsHeld--;
        usage.averageHoldMicros = Double.isNaN(usage.averageHoldMicros)
                ? heldMicros
                : usage.averageHoldMicros + AVERAGE_WEIGHT * (heldMicros - usage.averageHoldMicros);
        if (kinds.size() > MAX_KINDS) {
            kinds.values().removeIf(usageOfKind -> usageOfKind.slotsHeld == 0);
        }
        Waiting next = lowestDemand(now);
        if (next != null) {
            queue.remove(next);
            occupySlot(usage(next.kind));
            next.waiter.admitted();
        }
    }

    /** Returns the number of slots in use. */
    public int slotsInUse() {
        return inUse;
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        return queue.size();
    }
}
