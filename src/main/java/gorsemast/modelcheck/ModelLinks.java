package gorsemast.modelcheck;

import gorsemast.store.Message;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The links between members, by their machines' names. Messages of one pair keep their order, as on a link, but a link
 * may break and lose what was on it, and one direction may be cut: its messages wait. Single-threaded.
 */
final class ModelLinks {
    private final Map<String, Deque<Message>> links = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();

    /** Sends a message. */
    void send(String from, String to, Message message) {
        links.computeIfAbsent(pair(from, to), pair -> new ArrayDeque<>()).add(message);
    }

    /** Takes the oldest message from a link; null where none is on it or the link is cut. */
    Message next(String from, String to) {
        Deque<Message> row = links.get(pair(from, to));
        return row == null || isCut(from, to) ? null : row.poll();
    }

    /** A link breaks and loses what was on it. */
    void breakLink(String from, String to) {
        links.remove(pair(from, to));
    }

    /** All links to a machine break. */
    void breakTo(String ip) {
        links.keySet().removeIf(pair -> pair.endsWith(">" + ip));
    }

    /** All links from and to a machine break. */
    void breakAll(String ip) {
        links.keySet().removeIf(pair -> pair.startsWith(ip + ">") || pair.endsWith(">" + ip));
    }

    /** Cuts one direction, or restores it. */
    void cut(String from, String to, boolean does) {
        if (does) {
            cuts.add(pair(from, to));
        } else {
            cuts.remove(pair(from, to));
        }
    }

    /** Whether this direction is cut. */
    boolean isCut(String from, String to) {
        return cuts.contains(pair(from, to));
    }

    /** Whether nothing is cut. */
    boolean whole() {
        return cuts.isEmpty();
    }

    /** Restores all cut directions. */
    void mend() {
        cuts.clear();
    }

    private static String pair(String from, String to) {
        return from + ">" + to;
    }
}
