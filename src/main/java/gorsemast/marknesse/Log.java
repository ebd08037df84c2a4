package gorsemast.marknesse;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The log of one part: short sentences behind a fixed prefix, a line an event, on standard error. Log4j 2's interface
 * with the simple logger that comes with it: its full engine costs a daemon 0.3 s of a small core at each start.
 *
 * <p>A part that has more to say than {@link #MOST} lines in one second says how many it left out. Any thread.
 */
public final class Log {
    private static final int MOST = 20;
    private static final long SECOND = 1_000_000_000L;
    private static final String FACTORY = "log4j2.loggerContextFactory";
    private static final String LEVEL = "org.apache.logging.log4j.simplelog.level";

    static {
        // Whoever wants another engine of the library's names it; the simple one is silent below errors unless told.
        if (System.getProperty(FACTORY) == null) {
            System.setProperty(FACTORY, "org.apache.logging.log4j.simple.SimpleLoggerContextFactory");
        }
        if (System.getProperty(LEVEL) == null) {
            System.setProperty(LEVEL, "INFO");
        }
    }

    private final String name;
    private final String prefix;
    /** Made with the first line: the library's own start takes a tenth of the program's. */
    private Logger logger;
    private long second;
    private int lines;

    /** The log of a part, by its prefix. */
    public Log(String prefix) {
        this.name = prefix;
        this.prefix = prefix + ": ";
    }

    /** An event that an operator may want to know of. */
    public void info(String sentence) {
        if (room()) {
            logger.info(prefix + sentence);
        }
    }

    /** Something that should not be. */
    public void warn(String sentence) {
        if (room()) {
            logger.warn(prefix + sentence);
        }
    }

    /** A fault of the program's own, with its place. */
    public void fault(Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        warn("fault " + e + (at.length > 0 ? " at " + at[0] : "") + (at.length > 1 ? " from " + at[1] : ""));
    }

    private synchronized boolean room() {
        logger = logger == null ? LogManager.getLogger(name) : logger;
        long now = System.nanoTime();
        if (now - second > SECOND) {
            if (lines > MOST) {
                logger.warn(prefix + "left out " + (lines - MOST) + " lines");
            }
            second = now;
            lines = 0;
        }
        return ++lines <= MOST;
    }
}
