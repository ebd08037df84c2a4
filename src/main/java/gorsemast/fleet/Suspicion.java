package gorsemast.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * How long one suspected process has to refute.
 *
 * <p><b>Idea.</b> Lifeguard's dynamic suspicion (Dadgar, Phillips and Currey 2018, section IV-B): long while only one
 * says so, as that one may be slow itself; shorter by the logarithm of how many others have found the same; never
 * under the least, in which word must be able to go round.
 *
 * <p>Times in microseconds. O({@link #CONFIRMATIONS}) memory. One thread.
 */
final class Suspicion {
    /** The paper's K: with so many further witnesses the wait is at its least. */
    static final int CONFIRMATIONS = 3;

    private long begun;
    private final long least;
    private final long most;
    private final int wanted;
    private final Set<String> witnesses = new HashSet<>();

    /**
     * @param others how many could confirm it beside the first witness; with none the wait is the least
     */
    Suspicion(long now, String witness, long least, long most, int others) {
        this.begun = now;
        this.least = least;
        this.most = Math.max(least, most);
        this.wanted = Math.min(CONFIRMATIONS, Math.max(0, others));
        witnesses.add(witness);
    }

    /** Another process says the same; whether that is news that is worth passing on. */
    boolean confirm(String witness) {
        return witnesses.size() <= wanted && witnesses.add(witness);
    }

    /** This process has not run for so long: nothing could reach it. */
    void postpone(long micros) {
        begun += micros;
    }

    /** When it ends for a process in this health: who should doubt itself leaves it to others to call anybody dead. */
    long endsAt(LocalHealth health) {
        double part = wanted == 0 ? 1 : Math.log(witnesses.size()) / Math.log(wanted + 1);
        return begun + health.lenient(Math.max(least, (long) (most - (most - least) * part)));
    }
}
