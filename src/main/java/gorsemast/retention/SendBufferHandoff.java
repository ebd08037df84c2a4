package gorsemast.retention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the long responses to hand over to the kernel when the process is about to end and their clients read too
 * slowly to receive them in time.
 *
 * <p>The contents of a socket's send buffer are delivered after the process has ended. While a process serves, the
 * buffers stay as the system sizes them, since they are memory too and a slow client would get more of it than it
 * needs. A process that shuts down gives each response in flight a buffer for its remaining bytes, so that it can
 * finish its part at once. All of them share one limit. The shortest remainders come first, as that saves the most
 * responses for the same memory; what has been granted stays granted.
 *
 * <p>Drawback: the memory is the kernel's and doesn't show in that of the process. A client that never reads keeps it
 * until the system's own limit on connections without a process ends it.
 *
 * <p>O(n log n) for n long responses in flight; one thread; no I/O.
 *
 * @param <R> a response in flight
 */
public final class SendBufferHandoff<R> {
    private final long totalLimit;
    private final long responseLimit;
    private final Set<R> handedOver = new HashSet<>();
    private long granted;

    /**
     * @param totalLimit bytes for all responses together
     * @param responseLimit bytes for one response; a longer remainder is not handed over
     */
    public SendBufferHandoff(long totalLimit, long responseLimit) {
        this.totalLimit = totalLimit;
        this.responseLimit = responseLimit;
    }

    /**
     * Selects the responses to hand over now, from those in flight that were not selected before.
     *
     * @param remaining the bytes still to come from the node for each response, negative if unknown
     */
    public List<R> select(Map<R, Long> remaining) {
        List<R> chosen = new ArrayList<>();
        List<R> candidates = new ArrayList<>(remaining.keySet());
        candidates.removeAll(handedOver);
        candidates.sort(Comparator.comparingLong(r -> bufferSize(remaining.get(r))));
        for (R response : candidates) {
            long size = bufferSize(remaining.get(response));
            if (size <= responseLimit && granted + size <= totalLimit) {
                granted += size;
                handedOver.add(response);
                chosen.add(response);
            }
        }
        return chosen;
    }

    private long bufferSize(long remainder) {
        return remainder < 0 ? responseLimit : remainder;
    }

    /** Forgets a response that was handed over completely or has ended; its buffered bytes still count. */
    public void finished(R response) {
        handedOver.remove(response);
    }
}
