package gorsemast.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether a member that has just started may give out what its disk holds before there is a primary: it asks whether a
 * majority knows of no later view. Times in microseconds of the replica's clock; one caller, the replica's.
 */
final class EarlyAnswers {
    private boolean begun;
    private long begunAt;
    /** The term of the view that each last spoke of, by member. */
    private final Map<String, Long> viewTerms = new HashMap<>();

    /** The replica's clock runs; whether this is the first time. */
    boolean begin(long now) {
        if (begun) {
            return false;
        }
        begun = true;
        begunAt = now;
        return true;
    }

    /** A member has said which term its view has. */
    void heard(String id, long viewTerm, long now) {
        if (early(now)) {
            viewTerms.put(id, viewTerm);
        }
    }

    /** Whether it has only just started, and a majority, this member among it, knows of no later view than this. */
    boolean allowed(View view, String self, long now) {
        Set<String> agree = new HashSet<>(Set.of(self));
        viewTerms.forEach((id, term) -> {
            if (term <= view.term()) {
                agree.add(id);
            }
        });
        return early(now) && view.isMajority(agree);
    }

    private boolean early(long now) {
        return now - begunAt < Replica.EARLY_MICROS;
    }
}
