package gorsemast.simulation;

/** What a core machine has acknowledged. */
enum Acknowledged {
    /** Anything but a beat. */
    ANY,
    /** A configuration. */
    CONFIGURATION,
    /** That a server drains or has left. */
    LEAVING,
    /** A purge. */
    PURGE,
    /** A beat that tells nothing new. */
    BEAT;

    /** Of a trouble's number. */
    static Acknowledged of(int pick) {
        return values()[pick / Trouble.HOW % (values().length - 1)];
    }

    /** Of a call that was answered with 200. */
    static Acknowledged of(Outside.Call call) {
        if (call.path().endsWith("/replace")) {
            return CONFIGURATION;
        }
        if (call.path().endsWith("/purge")) {
            return PURGE;
        }
        return call.path().endsWith("/deregister") || call.body().contains("\"draining\"") ? LEAVING : BEAT;
    }

    /** Whether one who waits for this waits for that. */
    boolean fits(Acknowledged what) {
        return this == what || this == ANY && what != BEAT;
    }
}
