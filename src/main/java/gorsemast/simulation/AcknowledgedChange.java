package gorsemast.simulation;

/** The kinds of change that a core machine acknowledges. */
enum AcknowledgedChange {
    /** Anything except a heartbeat. */
    ANY,
    /** A new configuration. */
    CONFIGURATION,
    /** A server is draining or has left. */
    LEAVING,
    /** A purge. */
    PURGE,
    /** A heartbeat that changes nothing. */
    BEAT;

    /** Selects the kind by a fault's {@code pick}. */
    static AcknowledgedChange of(int pick) {
        return values()[pick / Fault.HOW % (values().length - 1)];
    }

    /** The kind of change that a call answered with 200 made. */
    static AcknowledgedChange of(ExternalCalls.Call call) {
        if (call.path().endsWith("/replace")) {
            return CONFIGURATION;
        }
        if (call.path().endsWith("/purge")) {
            return PURGE;
        }
        return call.path().endsWith("/deregister") || call.body().contains("\"draining\"") ? LEAVING : BEAT;
    }

    /** Whether waiting for this kind is satisfied by an acknowledgement of {@code what}. */
    boolean fits(AcknowledgedChange what) {
        return this == what || this == ANY && what != BEAT;
    }
}
