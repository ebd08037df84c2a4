package gorsemast.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records when each member was last heard and what it reported about itself: hints for timeouts and for the choice of
 * members. No promise, count or acknowledgement relies on it. Machines that are in no view are forgotten after a while.
 * Not thread-safe; times are in microseconds of the caller's clock.
 */
final class Liveness {
    /** A member that was not heard for this long counts as silent: four missed heartbeats. */
    static final long HEARTBEAT_TIMEOUT_MICROS = 650_000;
    /** A machine that is in no view and was not heard for this long is forgotten, and no link to it is kept. */
    static final long FORGET_MICROS = 10_000_000;
    /** Limit for remembered machines that are in no view; the one that was silent longest is dropped first. */
    static final int MAX_NON_MEMBERS = 32;

    private static final class Observation {
        private Member member;
        private long lastHeardAt;
        private Location location;
        private long settledTerm = -1;
        private boolean leaving;
    }

    private final Map<String, Observation> observations = new TreeMap<>();

    /** Records that a message of this member has arrived. */
    void recordHeard(Member member, long now) {
        Observation observation = observations.computeIfAbsent(member.id(), id -> new Observation());
        observation.member = member;
        observation.lastHeardAt = now;
    }

    /**
     * Records a member's heartbeat, after {@link #recordHeard}.
     *
     * @param settledTerm the term of the last view on its disk that is not joint
     */
    void recordReport(String id, Location location, boolean leaving, long settledTerm) {
        Observation observation = observations.get(id);
        observation.settledTerm = settledTerm;
        observation.location = location;
        observation.leaving = leaving;
    }

    /** Records that a member is about to leave, after {@link #recordHeard}. */
    void markLeaving(String id) {
        observations.get(id).leaving = true;
    }

    /** Returns whether the member was heard within {@link #HEARTBEAT_TIMEOUT_MICROS}. */
    boolean isAlive(String id, long now) {
        Observation observation = observations.get(id);
        return observation != null
                && observation.member != null
                && now - observation.lastHeardAt < HEARTBEAT_TIMEOUT_MICROS;
    }

    /** Returns how long the member was not heard; for one that was never heard, since the first such call. */
    long silenceMicros(String id, long now) {
        return now
                - observations.computeIfAbsent(id, unseen -> {
                            Observation observation = new Observation();
                            observation.lastHeardAt = now;
                            return observation;
                        })
                        .lastHeardAt;
    }

    /** Returns the term of the last view on the member's disk that is not joint, as it reported; -1 for none. */
    long settledTerm(String id) {
        Observation observation = observations.get(id);
        return observation == null ? -1 : observation.settledTerm;
    }

    /** Returns whether the member last reported that it is about to leave. */
    boolean isLeaving(String id) {
        Observation observation = observations.get(id);
        return observation != null && observation.leaving;
    }

    /** Returns the member's reported location; null where it has reported none. */
    Location location(String id) {
        Observation observation = observations.get(id);
        return observation == null ? null : observation.location;
    }

    /** Returns the member with this id as it named itself, or one without an address. */
    Member member(String id) {
        Observation observation = observations.get(id);
        return observation == null || observation.member == null ? new Member(id, "") : observation.member;
    }

    /** Returns the ids of the members that were heard within {@link #HEARTBEAT_TIMEOUT_MICROS}. */
    Set<String> aliveIds(long now) {
        Set<String> alive = new HashSet<>();
        observations.keySet().stream().filter(id -> isAlive(id, now)).forEach(alive::add);
        return alive;
    }

    /** Returns the machines that were heard of and are in no view, ordered by id. */
    List<Member> nonMembers(View view) {
        List<Member> others = new ArrayList<>();
        observations.values().stream()
                .filter(observation -> observation.member != null && !view.isVoter(observation.member.id()))
                .forEach(observation -> others.add(observation.member));
        return others;
    }

    /**
     * Forgets machines that are in no view and were silent for too long, and the longest silent ones above the limit.
     */
    void forget(View view, long now) {
        observations
                .entrySet()
                .removeIf(observation -> !view.isVoter(observation.getKey())
                        && now - observation.getValue().lastHeardAt > FORGET_MICROS);
        List<String> others = new ArrayList<>(
                observations.keySet().stream().filter(id -> !view.isVoter(id)).toList());
        others.sort((a, b) -> Long.compare(observations.get(a).lastHeardAt, observations.get(b).lastHeardAt));
        for (int i = 0; i < others.size() - MAX_NON_MEMBERS; i++) {
            observations.remove(others.get(i));
        }
    }
}
