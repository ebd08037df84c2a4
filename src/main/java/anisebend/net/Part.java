package anisebend.net;

import gorsemast.lifecycle.Lifecycle.Phase;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A part of the product that runs beside the proxy in one process, on the same event loop. The platform's {@code run}
 * has none, and loads none.
 */
public interface Part {
    /** What a part may use of the proxy. */
    interface Host {
        /** The one thread that does everything here. */
        EventLoop loop();

        /** Microseconds of the proxy's own clock, which never goes back. */
        LongSupplier clock();

        /** A line for the operator. */
        void log(String text);

        /** The version of the list of nodes that is known; on the loop. */
        long listVersion();

        /** Whether the register itself has told this process a list; on the loop. */
        boolean listed();

        /** How long ago the register told or confirmed the list, in microseconds, negative for never; on the loop. */
        long listAge();

        /** The list's entries as they were told, by their hosts; on the loop, and only to be read. */
        Map<String, Map<String, Object>> list();

        /**
         * Takes over another proxy's list, a whole one in the register's form, unless the register has told one; on the
         * loop. Throws where it can't be read, and then nothing has changed.
         */
        void learn(byte[] list) throws IOException;

        /** Where this process is asked and told what to do; null where there is no second address. */
        InetSocketAddress admin();

        /**
         * How many proxies share whatever is bounded over all of them, from now on; on the loop.
         *
         * @param proxies 1 or more; may be told before the proxy has begun
         */
        void sharedBy(int proxies);
    }

    /** Begins, before the proxy is ready; not on the loop. Throws where it can't, and the proxy does not start. */
    void start(Host host) throws IOException;

    /** Ten times a second, on the loop. */
    void sweep(Phase phase);

    /** What it answers to a call at the second address, behind {@code 200}; null where the call is not its own. */
    String call(String line);

    /** Further lines of the counters. */
    void figures(StringBuilder to);

    /** The process ends soon; on the loop. */
    void leave();
}
