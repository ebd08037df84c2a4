package gorsemast.retention;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Allots memory for request bodies that are buffered until they have a response, shared by all bodies that are too long
 * to be buffered without a reservation.
 *
 * <p>A request that finds no memory waits, and is not read from meanwhile. Its time only counts from its last byte, so
 * waiting costs it nothing but the wait, while a refusal would cost the request. Reservations are granted in order, so
 * that none starves. A body of known length gets all of its memory before its first byte is read, so that bodies once
 * begun can always be completed. One of unknown length reserves again as it grows; two of them could wait for each
 * other for ever, so only one grows at a time (the ordered acquisition of deadlock prevention), and it goes before
 * those that wait to begin.
 *
 * <p>Drawbacks: a slow body of unknown length holds back the others of its kind, for as long as its sender's own time
 * limit allows. A long body at the head of the queue holds back shorter ones that would fit.
 *
 * <p>One entry for each request that holds memory or waits; O(1) a call but for the requests admitted. One thread.
 *
 * @param <R> a request with a buffered body, whose {@code equals} compares identity
 */
public final class BodyBudget<R> {
    private record Reservation<R>(R request, long bytes) {}

    private final long capacity;
    private final Map<R, Long> reservedBytes = new HashMap<>();
    private final Deque<Reservation<R>> waitingToBegin = new ArrayDeque<>();
    private final Deque<Reservation<R>> waitingToGrow = new ArrayDeque<>();
    private long reserved;
    private R growing;

    /** Creates a budget of this many bytes. */
    public BodyBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Returns the length of the longest body that can be buffered. */
    public long capacity() {
        return capacity;
    }

    /** Returns the number of reserved bytes. */
    public long reserved() {
        return reserved;
    }

    /** Returns the number of requests that wait for memory. */
    public int waiting() {
        return waitingToBegin.size() + waitingToGrow.size();
    }

    /**
     * Reserves all the memory of a body of known length; called once.
     *
     * @param bytes at most {@link #capacity}
     * @return whether it is granted; if not, a later {@link #release} returns the request
     */
    public boolean reserve(R request, long bytes) {
        if (waitingToGrow.isEmpty() && waitingToBegin.isEmpty() && fits(bytes)) {
            grant(request, bytes);
            return true;
        }
        waitingToBegin.addLast(new Reservation<>(request, bytes));
        return false;
    }

    /**
     * Reserves this many bytes in all for a body of unknown length; called again each time the body outgrows them.
     *
     * @param bytes at most {@link #capacity}
     * @return whether it is granted; if not, a later {@link #release} returns the request
     */
    public boolean growTo(R request, long bytes) {
        if ((growing == null || growing == request) && fits(bytes - reservedBytes.getOrDefault(request, 0L))) {
            growing = request;
            grant(request, bytes);
            return true;
        }
        if (growing == request) {
            waitingToGrow.addFirst(new Reservation<>(request, bytes));
        } else {
            waitingToGrow.addLast(new Reservation<>(request, bytes));
        }
        return false;
    }

    /** Frees the memory of a request or removes it from the queue; returns the requests that are granted memory now. */
    public List<R> release(R request) {
        Long before = reservedBytes.remove(request);
        reserved -= before == null ? 0 : before;
        waitingToBegin.removeIf(reservation -> reservation.request() == request);
        waitingToGrow.removeIf(reservation -> reservation.request() == request);
        if (growing == request) {
            growing = null;
        }
        List<R> granted = new ArrayList<>(0);
        while (!waitingToGrow.isEmpty()
                && (growing == null || growing == waitingToGrow.peekFirst().request())
                && fits(waitingToGrow.peekFirst().bytes()
                        - reservedBytes.getOrDefault(waitingToGrow.peekFirst().request(), 0L))) {
            Reservation<R> reservation = waitingToGrow.pollFirst();
            growing = reservation.request();
            grant(reservation.request(), reservation.bytes());
            granted.add(reservation.request());
        }
        // A growing body that waits gets all freed memory; one that only waits for its turn to grow holds up nobody.
        boolean growthBlocked = growing != null
                && !waitingToGrow.isEmpty()
                && waitingToGrow.peekFirst().request() == growing;
        while (!growthBlocked
                && !waitingToBegin.isEmpty()
                && fits(waitingToBegin.peekFirst().bytes())) {
            Reservation<R> reservation = waitingToBegin.pollFirst();
            grant(reservation.request(), reservation.bytes());
            granted.add(reservation.request());
        }
        return granted;
    }

    private boolean fits(long bytes) {
        return reserved + bytes <= capacity;
    }

    private void grant(R request, long bytes) {
        Long before = reservedBytes.put(request, bytes);
        reserved += bytes - (before == null ? 0 : before);
    }
}
