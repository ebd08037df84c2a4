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
 * The one place that a client's connection may have for requests that take time, however many it has sent ahead. Those that ask for it
 * while it waits for one share what comes of that. On the event loop.
 */
final class ConnectionSlot implements Waiter {
    private record Asking(Runnable admitted, Runnable refused) {}

    private final EventLoop loop;
    private final LongSupplier clock;
    private final ConcurrencyLimiter limiter;
    private final Runnable released;
    private final List<Asking> asking = new ArrayList<>();
    private Kind kind;
    private boolean holds;
    private long heldSince;
    private ScheduledFuture<?> limit;

    /** @param released run whenever a place is given back */
    ConnectionSlot(EventLoop loop, LongSupplier clock, ConcurrencyLimiter limiter, Runnable released) {
        this.loop = loop;
        this.clock = clock;
        this.limiter = limiter;
        this.released = released;
    }

    /** Asks for the place; one of the two is run, at once or later, unless it is left meanwhile. */
    void acquire(Kind wanted, Runnable admitted, Runnable refused) {
        if (holds) {
            admitted.run();
            return;
        }
        if (!asking.isEmpty()) {
            asking.add(new Asking(admitted, refused));
            return;
        }
        kind = wanted;
        Admission admission = limiter.acquire(wanted, clock.getAsLong(), this);
        switch (admission) {
            case ADMITTED -> {
                hold();
                admitted.run();
            }
            case QUEUED -> {
                asking.add(new Asking(admitted, refused));
                limit = loop.schedule(this::expire, wanted.maxWaitMicros(), TimeUnit.MICROSECONDS);
            }
            default -> refused.run();
        }
    }

    private void hold() {
        holds = true;
        heldSince = clock.getAsLong();
    }

    private List<Asking> over() {
        limit.cancel(false);
        List<Asking> told = List.copyOf(asking);
        asking.clear();
        return told;
    }

    @Override
    public void admitted() {
        hold();
        over().forEach(one -> one.admitted.run());
    }

    @Override
    public void refused() {
        over().forEach(one -> one.refused.run());
    }

    private void expire() {
        if (limiter.expire(this)) {
            refused();
        }
    }

    /** Gives the place back, or waits for it no longer; nobody is told. */
    void leave() {
        if (!asking.isEmpty() && limiter.withdraw(this)) {
            over();
        }
        if (holds) {
            holds = false;
            released.run();
            limiter.release(kind, clock.getAsLong() - heldSince, clock.getAsLong());
        }
    }
}
