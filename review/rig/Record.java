package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what is sent, answered and run to a file, with the seconds since the start of the case. Thread-safe. */
public final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    /** Creates the file, or replaces it. */
    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Seconds since the start of the case, by the monotonic clock. */
    public double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes one line at the present time. */
    public void line(String format, Object... arguments) {
        line(now(), format, arguments);
    }

    /** Writes one line about an event of the given time. */
    public synchronized void line(double at, String format, Object... arguments) {
        out.println(String.format(Locale.ROOT, "%9.3f  ", at) + String.format(Locale.ROOT, format, arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
