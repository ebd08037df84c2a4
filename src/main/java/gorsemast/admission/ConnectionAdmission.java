package gorsemast.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The places for clients' connections, and who gives his up when they run short.
 *
 * <p><b>Idea.</b> A connection on which nothing is asked takes a place on both sides: here, and among those that the
 * client's machine may hold. Once clients that ask once and keep their connection have taken all of them, whoever
 * would ask finds none, while this process idles; nothing in it can tell, as what never arrives is not counted. So
 * idle connections are given back long before the places end: beyond {@link #IDLE_PART} of them the one that has been
 * idle longest goes for each that comes. The same is done under other names by event-driven servers that reuse
 * their idle connections when these run short. At the bound itself those go first that never asked or were turned away
 * last, then the longest idle; where there is none of these, nobody more is let in.
 *
 * <p>In a drain nobody new comes in for long, and a client that finds all of its connections in use needs one more: it
 * would turn to a proxy that may not be back yet, and never ask here again. So idle ones stay, and the last of them are
 * kept free by turning requests away ({@link #mustRefuseInDrain}).
 *
 * <p><b>When it could hurt.</b> A client whose connection goes pays for another. Where many clients each ask seldom,
 * more places (descriptors) are the remedy. While the process drains, idle ones stay: their clients could not come
 * back.
 *
 * <p><b>Bounds.</b> {@code setCapacity} connections; each call is O(1) but for those that close.
 *
 * @param <G> a connection, compared by identity of its {@code equals}
 */
public final class ConnectionAdmission<G> {
    /** The part of the places from which on idle connections make room before there is need. */
    static final double IDLE_PART = 0.625;
    /** In a drain so many connections on which anything was asked are kept free: this part, so many at least, half at most. */
    static final double FREE_PART = 0.25;

    static final int FREE_LEAST = 8;
    /** From so long after a drain began, in microseconds; until then those who need one more may still come in. */
    static final long LAST_ARRIVALS_MICROS = 200_000;
    /** Whoever was answered no longer ago than this is likely to ask again at once, and keeps his place. */
    static final long YOUNG_MICROS = 50_000;
    /** Who says nothing for this long is the first to go when there is need, in microseconds. */
    static final long SILENT_MICROS = 200_000;

    private enum Standing {
        NEW,
        IDLE,
        BUSY,
        TURNED_AWAY
    }

    /** By standing, each in the order in which they came to it, with the time of that. */
    private final List<Map<G, Long>> rows = new ArrayList<>();

    private final Map<G, Standing> standings = new LinkedHashMap<>();
    private int places;
    private boolean draining;
    private long drainSince;

    /** A door to {@code setCapacity} connections, at least 1. */
    public ConnectionAdmission(int places) {
        this.places = Math.max(1, places);
        for (Standing ignored : Standing.values()) {
            rows.add(new LinkedHashMap<>());
        }
    }

    /** Changes the number of places; who is in stays until somebody must go. */
    public void setCapacity(int atMost) {
        places = Math.max(1, atMost);
    }

    /** From now on idle connections stay for as long as there is room. */
    public void drain(long now) {
        draining = true;
        drainSince = now;
    }

    /** Somebody came, who has not asked for anything yet. */
    public void opened(long now, G guest) {
        enter(now, guest, Standing.NEW);
    }

    /** A whole request of this one is in hand. */
    public void requestReceived(long now, G guest) {
        enter(now, guest, Standing.BUSY);
    }

    /** It has its answer and may ask again. */
    public void responseSent(long now, G guest) {
        enter(now, guest, Standing.IDLE);
    }

    /** It has sent what can't be taken, and was told so. */
    public void rejected(long now, G guest) {
        enter(now, guest, Standing.TURNED_AWAY);
    }

    /** It has gone; unknown ones are ignored. */
    public void closed(G guest) {
        Standing before = standings.remove(guest);
        if (before != null) {
            row(before).remove(guest);
        }
    }

    /** How many are in. */
    public int size() {
        return standings.size();
    }

    /** Whether anybody more may come in. */
    public boolean hasCapacity() {
        return size() < places;
    }

    /**
     * Those that must go now, the least missed first. They count until {@link #closed} is called for them, which
     * the caller does when it closes them; a second call before that may name them again.
     */
    public List<G> connectionsToClose(long now) {
        List<G> gone = new ArrayList<>(0);
        int over = size() - places + 1;
        if (over > 0) {
            silent(now, Standing.TURNED_AWAY, size(), gone);
            silent(now, Standing.NEW, size(), gone);
            oldest(now, over - gone.size(), gone);
        }
        if (!draining) {
            int asked = size() - row(Standing.NEW).size();
            oldest(now - YOUNG_MICROS, asked - (int) (places * IDLE_PART) - gone.size(), gone);
        }
        return gone;
    }

    /**
     * Whether, in a drain, so few connections are free that a request must be turned away to keep one so. Nobody new
     * comes in then: a client that finds all of its connections in use would need another, can't have it, and turns
     * to a proxy that may not be back yet; so the last ones are worth more than the answers for which they would wait.
     *
     * @param worthy whether it is of the worthiest class, for which half of that part may be used
     */
    public boolean mustRefuseInDrain(long now, boolean worthy) {
        if (!draining || now - drainSince <= LAST_ARRIVALS_MICROS) {
            return false;
        }
        int idle = row(Standing.IDLE).size();
        int asked = idle + row(Standing.BUSY).size();
        double free = Math.min(asked / 2.0, Math.max(FREE_LEAST, FREE_PART * asked));
        return idle < (worthy ? free / 2 : free);
    }

    private void enter(long now, G guest, Standing standing) {
        closed(guest);
        standings.put(guest, standing);
        row(standing).put(guest, now);
    }

    private Map<G, Long> row(Standing standing) {
        return rows.get(standing.ordinal());
    }

    private void silent(long now, Standing standing, int atMost, List<G> into) {
        for (Map.Entry<G, Long> guest : row(standing).entrySet()) {
            if (now - guest.getValue() <= SILENT_MICROS || into.size() >= atMost) {
                return; // the others came later
            }
            into.add(guest.getKey());
        }
    }

    /** Those that have been idle since {@code before} or longer, the longest first. */
    private void oldest(long before, int wanted, List<G> into) {
        int left = wanted;
        for (Map.Entry<G, Long> idle : row(Standing.IDLE).entrySet()) {
            if (left <= 0 || idle.getValue() > before) {
                return; // the others came later
            }
            if (!into.contains(idle.getKey())) {
                into.add(idle.getKey());
                left--;
            }
        }
    }
}
