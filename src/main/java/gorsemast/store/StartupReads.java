package gorsemast.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a member that has just started may serve the version on its disk before there is a primary: a
 * majority must know of no later view. Times are in microseconds of the replica's clock; called by the replica only.
 */
final class StartupReads {
    private boolean started;
    private long startedAt;
    /** The term of the view that each member reported last, by member id. */
    private final Map<String, Long> viewTerms = new HashMap<>();

    /** Records the start of the replica's clock; returns whether this is the first call. */
    boolean start(long now) {
        if (started) {
            return false;
        }
        started = true;
        startedAt = now;
        return true;
    }

    /** Records the term of the view that a member reports. */
    void recordViewTerm(String id, long viewTerm, long now) {
        if (isStartingUp(now)) {
            viewTerms.put(id, viewTerm);
        }
    }

    /** Returns whether the member has just started, and a majority including itself knows of no later view than this. */
    boolean areAllowed(View view, String self, long now) {
        Set<String> agree = new HashSet<>(Set.of(self));
        viewTerms.forEach((id, term) -> {
            if (term <= view.term()) {
                agree.add(id);
            }
        });
        return isStartingUp(now) && view.isMajority(agree);
    }

    private boolean isStartingUp(long now) {
        return now - startedAt < Replica.STARTUP_PERIOD_MICROS;
    }
}
