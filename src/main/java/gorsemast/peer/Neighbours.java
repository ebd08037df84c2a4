package gorsemast.peer;

import java.util.Collection;
import java.util.List;

/** The processes that one is linked to, independent of the transport of messages. */
public interface Neighbours {
    /** Returns all as a copy, in the order in which they connected. */
    Collection<Neighbour> connected();

    /** Returns those that run this program. */
    default List<Neighbour> connected(PeerMessage.Program program) {
        return connected().stream()
                .filter(neighbour -> neighbour.hello().program() == program)
                .toList();
    }

    /** Returns the process of this program on that machine, or null if it is not connected. */
    default Neighbour find(PeerMessage.Program program, String ip) {
        for (Neighbour neighbour : connected()) {
            if (neighbour.hello().program() == program && neighbour.hello().ip().equals(ip)) {
                return neighbour;
            }
        }
        return null;
    }
}
