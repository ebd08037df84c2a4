package gorsemast.rig;

import gorsemast.rig.Clients.Asked;
import gorsemast.rig.Clients.End;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges a day from what clients, stand-ins and rig wrote down, after it is over.
 *
 * <p><b>Rules.</b> <em>Lost</em>: a request was whole on a connection that a process had accepted, and got no whole
 * answer in its time, though that process ran all the while. <em>Twice</em>: a write that may not be repeated ran more
 * than once, or ran and was refused as if it had not. What was in hand at a process that was killed or stopped is an
 * orphan: counted, and nobody's fault here. O(requests).
 *
 * <p>No clock and no I/O.
 */
final class Referee {
    /** Something that was done to a process, after which what it had in hand may be orphaned. */
    record Blow(int proxy, long at) {}

    /** What a day came to; {@code findings} says what broke a rule, one line each. */
    record Judgement(
            long asked,
            long served,
            long refused,
            long failed,
            long unreached,
            long orphaned,
            long lost,
            long twice,
            List<String> findings) {}

    private Referee() {}

    /**
     * @param runs how often each write ran, by its request's id
     * @param graceNanos so long before and after a blow it excuses
     */
    static Judgement judge(Collection<Asked> all, Map<String, Integer> runs, Collection<Blow> blows, long graceNanos) {
        Map<End, Long> ends = new TreeMap<>();
        List<String> findings = new ArrayList<>();
        long orphaned = 0;
        long lost = 0;
        long twice = 0;
        for (Asked one : all) {
            ends.merge(one.end(), 1L, Long::sum);
            if (one.end() == End.CUT || one.end() == End.SILENT) {
                boolean struck = blows.stream()
                        .anyMatch(blow -> blow.proxy() == one.proxy()
                                && blow.at() >= one.from() - graceNanos
                                && blow.at() <= one.until() + graceNanos);
                if (struck) {
                    orphaned++;
                } else {
                    lost++;
                    findings.add("lost: " + one.id() + " taken by p" + one.proxy() + ", " + one.end() + " after "
                            + (one.until() - one.from()) / 1_000_000 + " ms");
                }
            }
            int ran = one.write() ? runs.getOrDefault(one.id(), 0) : 0;
            if (ran > 1 || ran > 0 && one.end() == End.REFUSED) {
                twice++;
                findings.add("twice: " + one.id() + " ran " + ran + " times and its client was told " + one.end());
            } else if (one.write() && one.end() == End.SERVED && ran == 0) {
                lost++;
                findings.add("lost: " + one.id() + " was answered as served and never ran");
            }
        }
        return new Judgement(
                all.size(),
                ends.getOrDefault(End.SERVED, 0L),
                ends.getOrDefault(End.REFUSED, 0L),
                ends.getOrDefault(End.FAILED, 0L),
                ends.getOrDefault(End.UNREACHED, 0L),
                orphaned,
                lost,
                twice,
                findings);
    }
}
