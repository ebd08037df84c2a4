package gorsemast.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

/** One of the three programs, as the entry point drives it. */
public interface Daemon {
    /** A closed program's threads have so long to end. */
    int CLOSE_SECONDS = 3;

    /** Begins; throws where it can't. Not on its loop. */
    void start() throws IOException;

    /** The settings file may have changed. */
    void reload(Settings settings);

    /** The process is to end; returns when nothing is left to do. */
    void stop();

    /**
     * Ends its threads, sockets and disk at once, without leaving in order: for several programs in one process, which goes
     * on after them. The programs that the platform runs end with their process. Waits for some seconds at most; not on its
     * loop; once, and also after a start that failed.
     */
    void close();

    /** Ends a loop with all its sockets; waits for some seconds at most. */
    static void shutDown(EventLoop loop) {
        loop.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(CLOSE_SECONDS, TimeUnit.SECONDS);
    }

    /** Ends the thread of a disk after what it is writing; waits for some seconds at most. */
    static void shutDown(ExecutorService writer) {
        writer.shutdownNow();
        try {
            writer.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
