package gorsemast.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the number of clients' connections, and selects those to close when capacity runs short.
 *
 * <p>An idle connection occupies capacity on both sides: here, and among those that the client's machine may hold. Once
 * clients that send one request and keep their connection have taken all of it, other clients find none although this
 * process is idle, and nothing in it can notice, as requests that never arrive are not counted. So idle connections are
 * closed long before the limit: beyond {@link #IDLE_CLOSE_FRACTION} of the capacity each new connection closes the one
 * that has been idle longest, as event-driven servers do that reuse their idle connections when these run short. At the
 * limit itself those that never sent a request or whose last one was rejected go first, then the longest idle; if there
 * is none of these, no further connection is accepted.
 *
 * <p>During a drain new connections are accepted only briefly. A client that finds all of its connections in use needs
 * one more: it would turn to a proxy that may not be back yet, and send no request here again. So idle connections
 * stay, and the last of them are kept free by refusing requests ({@link #mustRefuseInDrain}).
 *
 * <p>Drawbacks: a client whose connection is closed pays for another client's. Where many clients each send requests
 * seldom, a larger capacity (descriptors) is the remedy. During a drain idle connections stay, as their clients could
 * not connect again.
 *
 * <p>Holds at most {@code setCapacity} connections; each call is O(1) but for those that select connections to close.
 *
 * @param <C> a connection, compared by its {@code equals}
 */
public final class ConnectionAdmission<C> {
    /** Fraction of the capacity in use from which on idle connections are closed. */
    static final double IDLE_CLOSE_FRACTION = 0.625;
    /** Fraction of the connections that sent a request to keep idle in a drain; at most half of them. */
    static final double DRAIN_IDLE_FRACTION = 0.25;
    /** Minimum number of connections to keep idle in a drain, within the same half. */
    static final int DRAIN_IDLE_MIN = 8;
    /** Time after the start of a drain within which clients may still open connections, in microseconds. */
    static final long DRAIN_ACCEPT_MICROS = 200_000;
    /** A connection answered within this time is likely to get another request at once, and is not closed as idle. */
    static final long RECENTLY_ANSWERED_MICROS = 50_000;
    /** A new or rejected connection silent for this long is the first to be closed at the limit, in microseconds. */
    static final long SILENT_MICROS = 200_000;

    private enum State {
        NEW,
        IDLE,
        BUSY,
        REJECTED
    }

    /** For each state the connections in it, in the order in which they entered it, with that time. */
    private final List<Map<C, Long>> connectionsByState = new ArrayList<>();

    private final Map<C, State> states = new LinkedHashMap<>();
    private int capacity;
    private boolean draining;
    private long drainStart;

    /** Admits up to {@code capacity} connections, at least 1. */
    public ConnectionAdmission(int capacity) {
        this.capacity = Math.max(1, capacity);
        for (State ignored : State.values()) {
            connectionsByState.add(new LinkedHashMap<>());
        }
    }

    /** Changes the capacity; open connections stay until {@link #connectionsToClose} selects them. */
    public void setCapacity(int connections) {
        capacity = Math.max(1, connections);
    }

    /** Starts a drain: idle connections stay as long as there is capacity. */
    public void drain(long now) {
        draining = true;
        drainStart = now;
    }

    /** Records a new connection, which has sent no request yet. */
    public void opened(long now, C connection) {
        changeState(now, connection, State.NEW);
    }

    /** Records that a whole request was received. */
    public void requestReceived(long now, C connection) {
        changeState(now, connection, State.BUSY);
    }

    /** Records that the response was sent and another request may follow. */
    public void responseSent(long now, C connection) {
        changeState(now, connection, State.IDLE);
    }

    /** Records that a request was rejected as unacceptable. */
    public void rejected(long now, C connection) {
        changeState(now, connection, State.REJECTED);
    }

    /** Removes a closed connection; unknown ones are ignored. */
    public void closed(C connection) {
        State before = states.remove(connection);
        if (before != null) {
            inState(before).remove(connection);
        }
    }

    /** Returns the number of connections. */
    public int size() {
        return states.size();
    }

    /** Returns whether another connection may be accepted. */
    public boolean hasCapacity() {
        return size() < capacity;
    }

    /**
     * Selects the connections to close now, the least useful first. They count until the caller closes them and calls
     * {@link #closed}; a second call before that may select them again.
     */
    public List<C> connectionsToClose(long now) {
        List<C> selected = new ArrayList<>(0);
        int over = size() - capacity + 1;
        if (over > 0) {
            selectSilent(now, State.REJECTED, size(), selected);
            selectSilent(now, State.NEW, size(), selected);
            selectLongestIdle(now, over - selected.size(), selected);
        }
        if (!draining) {
            int withRequests = size() - inState(State.NEW).size();
            selectLongestIdle(
                    now - RECENTLY_ANSWERED_MICROS,
                    withRequests - (int) (capacity * IDLE_CLOSE_FRACTION) - selected.size(),
                    selected);
        }
        return selected;
    }

    /**
     * Returns whether, in a drain, so few connections are idle that a request must be refused to keep one idle. No
     * connection is accepted then: a client that finds all of its connections in use can't open another and turns to a
     * proxy that may not be back yet, so the last idle ones are worth more than the responses they would wait for.
     *
     * @param mostImportant whether it is of the most important class, which may use half of the idle connections kept
     */
    public boolean mustRefuseInDrain(long now, boolean mostImportant) {
        if (!draining || now - drainStart <= DRAIN_ACCEPT_MICROS) {
            return false;
        }
        int idle = inState(State.IDLE).size();
        int withRequests = idle + inState(State.BUSY).size();
        double idleWanted = Math.min(withRequests / 2.0, Math.max(DRAIN_IDLE_MIN, DRAIN_IDLE_FRACTION * withRequests));
        return idle < (mostImportant ? idleWanted / 2 : idleWanted);
    }

    private void changeState(long now, C connection, State state) {
        closed(connection);
        states.put(connection, state);
        inState(state).put(connection, now);
    }

    private Map<C, Long> inState(State state) {
        return connectionsByState.get(state.ordinal());
    }

    private void selectSilent(long now, State state, int atMost, List<C> into) {
        for (Map.Entry<C, Long> connection : inState(state).entrySet()) {
            if (now - connection.getValue() <= SILENT_MICROS || into.size() >= atMost) {
                return; // the others entered this state later
            }
            into.add(connection.getKey());
        }
    }

    /** Adds up to {@code wanted} connections that have been idle since {@code before}, the longest idle first. */
    private void selectLongestIdle(long before, int wanted, List<C> into) {
        int left = wanted;
        for (Map.Entry<C, Long> idle : inState(State.IDLE).entrySet()) {
            if (left <= 0 || idle.getValue() > before) {
                return; // the others entered this state later
            }
            if (!into.contains(idle.getKey())) {
                into.add(idle.getKey());
                left--;
            }
        }
    }
}
