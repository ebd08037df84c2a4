package gorsemast.http;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Writes Netty's warnings and errors to standard error, one per line. Without it Netty searches for four logging
 * libraries and sets up the JDK's, which takes a tenth of the CPU time from {@code main} to the first request and
 * logs nothing.
 */
public final class NettyLog extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private NettyLog(String name) {
        super(name);
    }

    /** Installs this logger. Must be called before any class of Netty is loaded. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new InternalLoggerFactory() {
            @Override
            protected InternalLogger newInstance(String name) {
                return new NettyLog(name);
            }
        });
    }

    private void print(String text, Object... arguments) {
        StringBuilder line = new StringBuilder(name()).append(": ").append(text);
        for (Object argument : arguments) {
            line.append(' ').append(argument);
        }
        System.err.println(line);
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String text) {
        print(text);
    }

    @Override
    public void warn(String format, Object about) {
        print(format, about);
    }

    @Override
    public void warn(String format, Object about, Object more) {
        print(format, about, more);
    }

    @Override
    public void warn(String format, Object... about) {
        print(format, about);
    }

    @Override
    public void warn(String text, Throwable cause) {
        print(text, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String text) {
        print(text);
    }

    @Override
    public void error(String format, Object about) {
        print(format, about);
    }

    @Override
    public void error(String format, Object about, Object more) {
        print(format, about, more);
    }

    @Override
    public void error(String format, Object... about) {
        print(format, about);
    }

    @Override
    public void error(String text, Throwable cause) {
        print(text, cause);
    }

    // ---- disabled levels

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
