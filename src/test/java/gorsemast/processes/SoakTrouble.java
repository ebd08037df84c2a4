package gorsemast.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One trouble of a soak: what happens, to whom, from when and for how long.
 *
 * @param kind what happens
 * @param machine the edge or core machine, or the index of the server, that it happens to
 * @param other the second edge where it happens between two
 * @param beginMillis from the start of the course
 * @param endMillis when it is over
 */
record SoakTrouble(Kind kind, int machine, int other, long beginMillis, long endMillis) {
    /** What happens. */
    enum Kind {
        EDGE_KILLED,
        EDGE_PAUSED,
        CORE_PAUSED,
        EDGES_CUT,
        EDGES_RESET,
        ANSWERS_LOST,
        ANSWERS_CUT_SHORT,
        ANSWERS_LATE_AGAIN,
        SERVER_RESETS,
        SERVER_SLOW
    }

    private static final long FIRST_MILLIS = 500;
    private static final long SPREAD_MILLIS = 900;
    private static final long SHORTEST_MILLIS = 1_000;
    private static final long LONGEST_MILLIS = 2_600;

    /** Two or three troubles that overlap in time, each of another kind, drawn from a seed. */
    static List<SoakTrouble> draw(long seed, List<Integer> edges, int cores, int servers) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
        List<SoakTrouble> drawn = new ArrayList<>();
        int count = 2 + random.nextInt(2);
        while (drawn.size() < count) {
            Kind kind = kinds.remove(random.nextInt(kinds.size()));
            int one = random.nextInt(edges.size());
            int other = (one + 1 + random.nextInt(edges.size() - 1)) % edges.size();
            int machine =
                    switch (kind) {
                        case CORE_PAUSED -> 1 + random.nextInt(cores);
                        case EDGE_KILLED, EDGE_PAUSED, EDGES_CUT, EDGES_RESET -> edges.get(one);
                        default -> random.nextInt(servers);
                    };
            long begin = FIRST_MILLIS + random.nextLong(SPREAD_MILLIS);
            long end = begin + SHORTEST_MILLIS + random.nextLong(LONGEST_MILLIS - SHORTEST_MILLIS);
            drawn.add(new SoakTrouble(kind, machine, edges.get(other), begin, end));
        }
        return drawn;
    }

    /** Whether a client of this edge may be left without an answer by it. */
    boolean strikes(int edge) {
        return (kind == Kind.EDGE_KILLED || kind == Kind.EDGE_PAUSED) && machine == edge;
    }

    /** Whether it is between two edges. */
    boolean isOnLinks() {
        return kind == Kind.EDGES_CUT || kind == Kind.EDGES_RESET;
    }
}
