package gorsemast.http;

import anisebend.Balancer.Code;

/** What passed on the sockets to one cache node since this process knows it. Counts only; owned by the loop. */
public final class Traffic {
    /** Connections that are open or coming up now. */
    public int open;

    public int opening;
    public long connects;
    public long connectsFailed;
    /** Microseconds that the connects which succeeded took, summed. */
    public long connectMicros;
    /** Attempts that found all connections taken and no room for another. */
    public long noCapacity;
    /** Attempts ended, by {@link Code}. */
    public final long[] ended = new long[Code.values().length];
    /** Microseconds that attempts answered OK took, summed. */
    public long okMicros;
}
