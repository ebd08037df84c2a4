package gorsemast.http;

import anisebend.Balancer.Code;

/** Connection and attempt counts for one node since this process first used it. Owned by the event loop. */
public final class Traffic {
    /** Connections that are open now. */
    public int open;

    public int opening;
    public long connects;
    public long connectsFailed;
    /** Total time of successful connects, in microseconds. */
    public long connectMicros;
    /** Attempts that found all connections in use and no capacity for another. */
    public long noCapacity;
    /** Ended attempts by {@link Code}. */
    public final long[] ended = new long[Code.values().length];
    /** Total time of attempts that ended with OK, in microseconds. */
    public long okMicros;
}
