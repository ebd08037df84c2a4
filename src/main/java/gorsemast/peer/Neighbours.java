package gorsemast.peer;

import java.util.Collection;
import java.util.List;

/** All processes that one is linked to now. Decisions are made over these, whatever carries the records. */
public interface Neighbours {
    /** All, those linked first first; a copy. */
    Collection<Neighbour> connected();

    /** Those that run this program. */
    default List<Neighbour> connected(PeerMessage.Program program) {
        return connected().stream()
                .filter(one -> one.hello().program() == program)
                .toList();
    }

    /** The process of this program on that machine; null where it is not reached. */
    default Neighbour find(PeerMessage.Program program, String ip) {
        for (Neighbour one : connected()) {
            if (one.hello().program() == program && one.hello().ip().equals(ip)) {
                return one;
            }
        }
        return null;
    }
}
