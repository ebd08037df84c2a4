package gorsemast.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

/** One of the three programs, as run by the entry point. */
public interface Daemon {
    /** How long {@link #close} waits for threads to end. */
    int CLOSE_SECONDS = 3;

    /** Starts the program; not called on its event loop. */
    void start() throws IOException;

    /** Applies settings that may have changed. */
    void reload(Settings settings);

    /** Prepares the end of the process; returns when nothing is left to do. */
    void stop();

    /**
     * Ends threads, sockets and disk access at once, without a graceful shutdown: for several programs in one process that
     * outlives them. The programs that the platform runs end with their process. Waits for some seconds at most. Called once,
     * also after a failed start, and not on its event loop.
     */
    void close();

    /** Shuts down an event loop with all its sockets; waits for some seconds at most. */
    static void shutDown(EventLoop loop) {
        loop.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(CLOSE_SECONDS, TimeUnit.SECONDS);
    }

    /** Shuts down the writer thread of a disk after its current write; waits for some seconds at most. */
    static void shutDown(ExecutorService writer) {
        writer.shutdownNow();
        try {
            writer.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
