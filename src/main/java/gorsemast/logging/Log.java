package gorsemast.logging;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The log of one part: short sentences behind a fixed prefix, a line an event, on standard error. Log4j 2's interface
 * with the simple logger that comes with it: its full engine costs a daemon 0.3 s of a small core at each start.
 *
 * <p>Lines are written by a thread of their own, so that no event loop waits for whoever reads them, and from
 * {@link #QUIET_NANOS} after the process's first line on: setting the library up takes a sixth of a start that clients wait
 * for. Who ends the process calls {@link #flush} before. A part that has more to say than {@link #MOST} lines in one second
 * says how many it left out; {@link #WAITING} lines wait at most. A line that had to wait says for how long. Any thread.
 */
public final class Log {
    private static final int MOST = 20;
    private static final int WAITING = 1_000;
    private static final long SECOND = 1_000_000_000L;
    private static final long QUIET_NANOS = 2_500_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final long LATE_MILLIS = 200;
    private static final String FACTORY = "log4j2.loggerContextFactory";
    private static final String LEVEL = "org.apache.logging.log4j.simplelog.level";

    private record Line(Log of, boolean warns, String text, long at) {
        /** Who reads a line by when it came has to be told where that was much later than what it tells of. */
        String told() {
            long millis = (System.nanoTime() - at) / MILLI;
            return millis < LATE_MILLIS ? text : text + " (" + millis + " ms ago)";
        }
    }

    private static final Queue<Line> LINES = new ConcurrentLinkedQueue<>();
    private static volatile Thread writer;

    static {
        // Whoever wants another engine of the library's names it; the simple one is silent below errors unless told.
        if (System.getProperty(FACTORY) == null) {
            System.setProperty(FACTORY, "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        }
        if (System.getProperty(LEVEL) == null) {
            System.setProperty(LEVEL, "INFO");
        }
    }

    private static volatile Consumer<String> diverted;

    private final String name;
    private final String prefix;
    private Logger logger;
    private long second;
    private int lines;

    /** The log of a part, by its prefix. */
    public Log(String prefix) {
        this.name = prefix;
        this.prefix = prefix + ": ";
    }

    /** Hands all lines to somebody else from now on, at once and by whoever tells them: for programs in virtual time. */
    public static void redirect(Consumer<String> to) {
        diverted = to;
    }

    /** An event that an operator may want to know of. */
    public void info(String sentence) {
        line(false, sentence);
    }

    /** Something that should not be. */
    public void warn(String sentence) {
        line(true, sentence);
    }

    /** A fault of the program's own, with its place. */
    public void internalError(Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        warn("fault " + e + (at.length > 0 ? " at " + at[0] : "") + (at.length > 1 ? " from " + at[1] : ""));
    }

    private void line(boolean warns, String sentence) {
        Consumer<String> to = diverted;
        if (to != null) {
            to.accept(prefix + sentence);
        } else {
            queue(warns, sentence);
        }
    }

    private synchronized void queue(boolean warns, String sentence) {
        long now = System.nanoTime();
        if (now - second > SECOND) {
            if (lines > MOST) {
                LINES.add(new Line(this, true, prefix + "left out " + (lines - MOST) + " lines", now));
            }
            second = now;
            lines = 0;
        }
        if (++lines <= MOST && LINES.size() < WAITING) {
            LINES.add(new Line(this, warns, prefix + sentence, now));
            wake();
        }
    }

    private static void wake() {
        Thread thread = writer;
        if (thread != null) {
            LockSupport.unpark(thread);
            return;
        }
        synchronized (LINES) {
            if (writer == null) {
                writer = new Thread(Log::write, "log");
                writer.setDaemon(true);
                writer.start();
            }
        }
    }

    private static void write() {
        long from = System.nanoTime() + QUIET_NANOS;
        for (long left = QUIET_NANOS; left > 0; left = from - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
        while (true) {
            flush();
            LockSupport.park(LINES); // one that comes in between leaves its permit
        }
    }

    /** Writes what waits, before the process ends. */
    public static void flush() {
        synchronized (LINES) {
            for (Line line = LINES.poll(); line != null; line = LINES.poll()) {
                Log of = line.of;
                of.logger = of.logger == null ? LogManager.getLogger(of.name) : of.logger;
                if (line.warns) {
                    of.logger.warn(line.told());
                } else {
                    of.logger.info(line.told());
                }
            }
        }
    }
}
