package gorsemast.logging;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The log of one component: one line per event with a fixed prefix, on standard error. Uses the Log4j 2 API with its
 * simple logger: the full engine costs 0.3 s of a small core at each start.
 *
 * <p>A separate thread writes the lines, so that no event loop waits for the reader, from {@link
 * #STARTUP_DELAY_NANOS} after the process's first line on: initialising the library takes a sixth of the startup
 * time, for which clients wait. Call {@link #flush} before the process ends. Of more than {@link
 * #MAX_LINES_PER_SECOND} lines of a component in one second the rest is dropped and counted; at most {@link
 * #MAX_QUEUED_LINES} are queued. A line that was delayed says for how long. Thread-safe.
 */
public final class Log {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final int MAX_QUEUED_LINES = 1_000;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long STARTUP_DELAY_NANOS = 2_500_000_000L;
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long LATE_LINE_MILLIS = 200;
    private static final String FACTORY = "log4j2.loggerContextFactory";
    private static final String LEVEL = "org.apache.logging.log4j.simplelog.level";

    private record Line(Log log, boolean isWarning, String text, long createdAtNanos) {
        /** Appends the delay if it is long, as the time of output would mislead the reader. */
        String textWithDelay() {
            long millis = (System.nanoTime() - createdAtNanos) / MILLI_NANOS;
            return millis < LATE_LINE_MILLIS ? text : text + " (" + millis + " ms ago)";
        }
    }

    private static final Queue<Line> LINES = new ConcurrentLinkedQueue<>();
    private static volatile Thread writer;

    static {
        // Another Log4j engine can be selected by property; the simple one suppresses levels below ERROR by default.
        if (System.getProperty(FACTORY) == null) {
            System.setProperty(FACTORY, "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        }
        if (System.getProperty(LEVEL) == null) {
            System.setProperty(LEVEL, "INFO");
        }
    }

    private static volatile Consumer<String> redirectedTo;

    private final String name;
    private final String prefix;
    private Logger logger;
    private long windowStart;
    private int linesInWindow;

    /** Creates the log of a component. */
    public Log(String prefix) {
        this.name = prefix;
        this.prefix = prefix + ": ";
    }

    /** Passes all lines to a consumer from now on, synchronously: for programs in simulated time. */
    public static void redirect(Consumer<String> to) {
        redirectedTo = to;
    }

    /** Logs an event that an operator may want to know. */
    public void info(String sentence) {
        line(false, sentence);
    }

    /** Logs an abnormal condition. */
    public void warn(String sentence) {
        line(true, sentence);
    }

    /** Logs an unexpected exception with its origin. */
    public void internalError(Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        warn("unexpected exception " + e + (at.length > 0 ? " at " + at[0] : "")
                + (at.length > 1 ? " called from " + at[1] : ""));
    }

    private void line(boolean isWarning, String sentence) {
        Consumer<String> to = redirectedTo;
        if (to != null) {
            to.accept(prefix + sentence);
        } else {
            queue(isWarning, sentence);
        }
    }

    private synchronized void queue(boolean isWarning, String sentence) {
        long now = System.nanoTime();
        if (now - windowStart > SECOND_NANOS) {
            if (linesInWindow > MAX_LINES_PER_SECOND) {
                LINES.add(new Line(
                        this, true, prefix + "dropped " + (linesInWindow - MAX_LINES_PER_SECOND) + " lines", now));
            }
            windowStart = now;
            linesInWindow = 0;
        }
        if (++linesInWindow <= MAX_LINES_PER_SECOND && LINES.size() < MAX_QUEUED_LINES) {
            LINES.add(new Line(this, isWarning, prefix + sentence, now));
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
        long writeFrom = System.nanoTime() + STARTUP_DELAY_NANOS;
        for (long left = STARTUP_DELAY_NANOS; left > 0; left = writeFrom - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
        while (true) {
            flush();
            LockSupport.park(LINES); // a line queued in between leaves a permit
        }
    }

    /** Writes the queued lines, before the process ends. */
    public static void flush() {
        synchronized (LINES) {
            for (Line line = LINES.poll(); line != null; line = LINES.poll()) {
                Log of = line.log;
                of.logger = of.logger == null ? LogManager.getLogger(of.name) : of.logger;
                if (line.isWarning) {
                    of.logger.warn(line.textWithDelay());
                } else {
                    of.logger.info(line.textWithDelay());
                }
            }
        }
    }
}
