package gorsemast.peer;

import java.util.Collection;
import java.util.List;

/** All processes that one is linked to now. Decisions are made over these, whatever carries the records. */
public interface Neighbours {
    /** All, those linked first first; a copy. */
    Collection<Neighbour> up();

    /** Those that run this program. */
    default List<Neighbour> up(Record.Program program) {
        return up().stream().filter(one -> one.peer().program() == program).toList();
    }

    /** The process of this program on that machine; null where it is not reached. */
    default Neighbour at(Record.Program program, String ip) {
        for (Neighbour one : up()) {
            if (one.peer().program() == program && one.peer().ip().equals(ip)) {
                return one;
            }
        }
        return null;
    }
}
