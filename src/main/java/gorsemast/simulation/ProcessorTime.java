package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of the thread that plays a day, by the program whose events it ran: the decisions and the records'
 * encoding, without sockets, disks and HTTP. One thread.
 */
final class ProcessorTime {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long[] nanos = new long[Program.values().length];
    private boolean inside;

    /** Runs an event of a program; one within another counts as part of that. */
    void run(Program program, Runnable event) {
        if (inside) {
            event.run();
            return;
        }
        inside = true;
        long begun = threads.getCurrentThreadCpuTime();
        try {
            event.run();
        } finally {
            nanos[program.ordinal()] += threads.getCurrentThreadCpuTime() - begun;
            inside = false;
        }
    }

    /** Begins anew. */
    void reset() {
        java.util.Arrays.fill(nanos, 0);
    }

    /** Nanoseconds since the last reset. */
    long nanos(Program program) {
        return nanos[program.ordinal()];
    }
}
