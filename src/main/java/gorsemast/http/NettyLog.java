package gorsemast.http;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Netty's warnings and errors, a line each on standard error. Left to itself Netty looks for four logging libraries
 * and sets up the JDK's, a tenth of the CPU time from {@code main} to the first request, for a log that is silent.
 */
public final class NettyLog extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private NettyLog(String name) {
        super(name);
    }

    /** To be called before any class of Netty is touched. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new InternalLoggerFactory() {
            @Override
            protected InternalLogger newInstance(String name) {
                return new NettyLog(name);
            }
        });
    }

    private void line(String text, Object... about) {
        StringBuilder line = new StringBuilder(name()).append(": ").append(text);
        for (Object one : about) {
            line.append(' ').append(one);
        }
        System.err.println(line);
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String text) {
        line(text);
    }

    @Override
    public void warn(String format, Object about) {
        line(format, about);
    }

    @Override
    public void warn(String format, Object about, Object more) {
        line(format, about, more);
    }

    @Override
    public void warn(String format, Object... about) {
        line(format, about);
    }

    @Override
    public void warn(String text, Throwable cause) {
        line(text, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String text) {
        line(text);
    }

    @Override
    public void error(String format, Object about) {
        line(format, about);
    }

    @Override
    public void error(String format, Object about, Object more) {
        line(format, about, more);
    }

    @Override
    public void error(String format, Object... about) {
        line(format, about);
    }

    @Override
    public void error(String text, Throwable cause) {
        line(text, cause);
    }

    // ---- what is of no use to an operator

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String text) {}

    @Override
    public void trace(String format, Object about) {}

    @Override
    public void trace(String format, Object about, Object more) {}

    @Override
    public void trace(String format, Object... about) {}

    @Override
    public void trace(String text, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String text) {}

    @Override
    public void debug(String format, Object about) {}

    @Override
    public void debug(String format, Object about, Object more) {}

    @Override
    public void debug(String format, Object... about) {}

    @Override
    public void debug(String text, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String text) {}

    @Override
    public void info(String format, Object about) {}

    @Override
    public void info(String format, Object about, Object more) {}

    @Override
    public void info(String format, Object... about) {}

    @Override
    public void info(String text, Throwable cause) {}
}
