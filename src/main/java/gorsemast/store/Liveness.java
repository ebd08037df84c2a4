package gorsemast.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who was heard when, and what each said of itself: hints for time-outs and for the choice of members. No promise,
 * count or acknowledgement rests on it. Members that are in no view any more are forgotten. One caller; times in
 * microseconds of the caller's clock.
 */
final class Liveness {
    /** A member that was not heard for this long is taken for silent: four signs of life. */
    static final long SILENT_MICROS = 650_000;
    /** One that is in no view and was not heard for this long is forgotten, and no link to it is kept. */
    static final long FORGET_MICROS = 10_000_000;
    /** Of those that are in no view, no more are remembered than this; the one that was not heard longest goes first. */
    static final int MOST_OTHERS = 32;

    private static final class Seen {
        private Member member;
        private long at;
        private Location place;
        private long settled = -1;
        private boolean leaving;
    }

    private final Map<String, Seen> seen = new TreeMap<>();

    /** A message of it has come. */
    void heard(Member member, long now) {
        Seen one = seen.computeIfAbsent(member.id(), id -> new Seen());
        one.member = member;
        one.at = now;
    }

    /** It has said where it stands, which view without an old list is on its disk, and whether it is about to leave; after {@link #heard}. */
    void told(String id, Location place, boolean leaving, long settled) {
        Seen one = seen.get(id);
        one.settled = settled;
        one.place = place;
        one.leaving = leaving;
    }

    /** It has said that it is about to leave; after {@link #heard}. */
    void leaves(String id) {
        seen.get(id).leaving = true;
    }

    /** Whether it was heard a moment ago. */
    boolean alive(String id, long now) {
        Seen one = seen.get(id);
        return one != null && one.member != null && now - one.at < SILENT_MICROS;
    }

    /** For how long it was not heard; one that was never heard is given its time from when it is first asked for. */
    long silence(String id, long now) {
        return now
                - seen.computeIfAbsent(id, missed -> {
                            Seen one = new Seen();
                            one.at = now;
                            return one;
                        })
                        .at;
    }

    /** The term of the last view without an old list of members that it said it has on disk; -1 for none. */
    long settled(String id) {
        Seen one = seen.get(id);
        return one == null ? -1 : one.settled;
    }

    /** Whether it said last that it is about to leave. */
    boolean leaving(String id) {
        Seen one = seen.get(id);
        return one != null && one.leaving;
    }

    /** Where it said that it stands; null where it has not said it. */
    Location place(String id) {
        Seen one = seen.get(id);
        return one == null ? null : one.place;
    }

    /** The member of this id as it named itself, or one without an address. */
    Member member(String id) {
        Seen one = seen.get(id);
        return one == null || one.member == null ? new Member(id, "") : one.member;
    }

    /** Ids of those that were heard a moment ago. */
    Set<String> alive(long now) {
        Set<String> alive = new HashSet<>();
        seen.keySet().stream().filter(id -> alive(id, now)).forEach(alive::add);
        return alive;
    }

    /** Those that were heard of and are in no view, by id. */
    List<Member> others(View view) {
        List<Member> others = new ArrayList<>();
        seen.values().stream()
                .filter(one -> one.member != null && !view.isVoter(one.member.id()))
                .forEach(one -> others.add(one.member));
        return others;
    }

    /** Forgets who is in no view and was not heard for long, and the longest silent of too many. */
    void forget(View view, long now) {
        seen.entrySet().removeIf(one -> !view.isVoter(one.getKey()) && now - one.getValue().at > FORGET_MICROS);
        List<String> others = new ArrayList<>(
                seen.keySet().stream().filter(id -> !view.isVoter(id)).toList());
        others.sort((a, b) -> Long.compare(seen.get(a).at, seen.get(b).at));
        for (int i = 0; i < others.size() - MOST_OTHERS; i++) {
            seen.remove(others.get(i));
        }
    }
}
