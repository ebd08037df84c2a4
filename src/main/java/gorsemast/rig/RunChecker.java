package gorsemast.rig;

import gorsemast.rig.Clients.Outcome;
import gorsemast.rig.Clients.RequestRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks a finished run from the records of clients, stand-ins and rig.
 *
 * <p><em>Lost</em>: a request was sent completely on a connection that a process had accepted and got no complete
 * response in time, though that process ran throughout. <em>Twice</em>: a non-repeatable write was executed more than
 * once, or was executed and then refused as if it had not been. A request in flight at a process that was killed or
 * stopped is orphaned: it is counted but is no violation. O(requests).
 *
 * <p>Uses no clock and no I/O.
 */
final class RunChecker {
    /** A fault applied to a process, which may orphan its requests in flight. */
    record ProcessFault(int proxy, long at) {}

    /** Result of the check; {@code findings} has one line per violation. */
    record Verdict(
            long asked,
            long served,
            long refused,
            long failed,
            long unreached,
            long orphaned,
            long lost,
            long twice,
            List<String> findings) {}

    private static final long NANOS_PER_MILLI = 1_000_000;

    private RunChecker() {}

    /**
     * @param runs number of executions of each write, by request id
     * @param graceNanos time before and after a fault within which it excuses a missing response
     */
    static Verdict check(
            Collection<RequestRecord> requests,
            Map<String, Integer> runs,
            Collection<ProcessFault> faults,
            long graceNanos) {
        Map<Outcome, Long> ends = new TreeMap<>();
        List<String> findings = new ArrayList<>();
        long orphaned = 0;
        long lost = 0;
        long twice = 0;
        for (RequestRecord request : requests) {
            ends.merge(request.outcome(), 1L, Long::sum);
            if (request.outcome() == Outcome.CUT || request.outcome() == Outcome.SILENT) {
                boolean excused = faults.stream()
                        .anyMatch(blow -> blow.proxy() == request.proxy()
                                && blow.at() >= request.from() - graceNanos
                                && blow.at() <= request.until() + graceNanos);
                if (excused) {
                    orphaned++;
                } else {
                    lost++;
                    findings.add("lost: " + request.id() + " accepted by p" + request.proxy() + ", " + request.outcome()
                            + " after " + (request.until() - request.from()) / NANOS_PER_MILLI + " ms, "
                            + describeNearestFault(request, faults));
                }
            }
            int ran = request.write() ? runs.getOrDefault(request.id(), 0) : 0;
            if (ran > 1 || ran > 0 && request.outcome() == Outcome.REFUSED) {
                twice++;
                findings.add("twice: " + request.id() + " was executed " + ran + " times and its client saw "
                        + request.outcome());
            } else if (request.write() && request.outcome() == Outcome.SERVED && ran == 0) {
                lost++;
                findings.add("lost: " + request.id() + " was answered as served but never executed");
            }
        }
        return new Verdict(
                requests.size(),
                ends.getOrDefault(Outcome.SERVED, 0L),
                ends.getOrDefault(Outcome.REFUSED, 0L),
                ends.getOrDefault(Outcome.FAILED, 0L),
                ends.getOrDefault(Outcome.UNREACHED, 0L),
                orphaned,
                lost,
                twice,
                findings);
    }

    /** Tells how the end of a request lies to the nearest fault of its process, for those who trace a finding. */
    private static String describeNearestFault(RequestRecord request, Collection<ProcessFault> faults) {
        return faults.stream()
                .filter(fault -> fault.proxy() == request.proxy())
                .map(fault -> (request.until() - fault.at()) / NANOS_PER_MILLI)
                .min(Comparator.comparingLong(Math::abs))
                .map(millis -> millis + " ms after the nearest fault of its process")
                .orElse("no fault of its process");
    }
}
