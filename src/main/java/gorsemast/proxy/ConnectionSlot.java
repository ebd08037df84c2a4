package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.admission.ConcurrencyLimiter.Admission;
import gorsemast.admission.ConcurrencyLimiter.Kind;
import gorsemast.admission.ConcurrencyLimiter.Waiter;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The concurrency slot of one client connection, which its pipelined requests share. Requests that ask for it while
 * it is queued share the outcome. Runs on the event loop.
 */
final class ConnectionSlot implements Waiter {
    private record SlotRequest(Runnable admitted, Runnable refused) {}

    private final EventLoop loop;
    private final LongSupplier clock;
    private final ConcurrencyLimiter limiter;
    private final Runnable onRelease;
    private final List<SlotRequest> pending = new ArrayList<>();
    private Kind kind;
    private boolean isHeld;
    private long heldSince;
    private ScheduledFuture<?> timeout;

    /** @param onRelease run whenever the slot is released */
    ConnectionSlot(EventLoop loop, LongSupplier clock, ConcurrencyLimiter limiter, Runnable onRelease) {
        this.loop = loop;
        this.clock = clock;
        this.limiter = limiter;
        this.onRelease = onRelease;
    }

    /** Requests the slot. One of the two callbacks is run, now or later, unless {@link #release} is called before. */
    void acquire(Kind requestedKind, Runnable admitted, Runnable refused) {
        if (isHeld) {
            admitted.run();
            return;
        }
        if (!pending.isEmpty()) {
            pending.add(new SlotRequest(admitted, refused));
            return;
        }
        kind = requestedKind;
        Admission admission = limiter.acquire(requestedKind, clock.getAsLong(), this);
        switch (admission) {
            case ADMITTED -> {
                markHeld();
                admitted.run();
            }
            case QUEUED -> {
                pending.add(new SlotRequest(admitted, refused));
                timeout = loop.schedule(this::expire, requestedKind.maxWaitMicros(), TimeUnit.MICROSECONDS);
            }
            default -> refused.run();
        }
    }

    private void markHeld() {
        isHeld = true;
        heldSince = clock.getAsLong();
    }

    private List<SlotRequest> takePending() {
        timeout.cancel(false);
        List<SlotRequest> requests = List.copyOf(pending);
        pending.clear();
        return requests;
    }

    @Override
    public void admitted() {
        markHeld();
        takePending().forEach(request -> request.admitted.run());
    }

    @Override
    public void refused() {
        takePending().forEach(request -> request.refused.run());
    }

    private void expire() {
        if (limiter.expire(this)) {
            refused();
        }
    }

    /** Withdraws the request for the slot, if it is queued, without running a callback. */
    void withdraw() {
        if (!pending.isEmpty() && limiter.withdraw(this)) {
            takePending();
        }
    }

    /** Releases the slot, or withdraws the request for it without running a callback. */
    void release() {
        withdraw();
        if (isHeld) {
            isHeld = false;
            onRelease.run();
            limiter.release(kind, clock.getAsLong() - heldSince, clock.getAsLong());
        }
    }
}
