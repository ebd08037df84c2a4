package anisebend.net;

import gorsemast.lifecycle.Lifecycle.Phase;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A component that runs with the proxy in one process, on the same event loop. The platform's {@code run} has none and
 * loads none.
 */
public interface Part {
    /** The proxy as seen by a part. */
    interface Host {
        /** The event loop that does all the work. */
        EventLoop loop();

        /** The proxy's monotonic clock, in microseconds. */
        LongSupplier clock();

        /** Writes a line to the operator's log. */
        void log(String text);

        /** The version of the present list of nodes; on the event loop. */
        long listVersion();

        /** Whether the discovery service itself has sent this process a list; on the event loop. */
        boolean listed();

        /** Microseconds since discovery sent or confirmed the list, negative for never; on the event loop. */
        long listAge();

        /** The list's entries as received, by host; read-only, on the event loop. */
        Map<String, Map<String, Object>> list();

        /**
         * Adopts another proxy's whole list, in the discovery service's format, unless that service has sent one; on
         * the event loop. Throws and changes nothing if the list can't be read.
         */
        void learn(byte[] list) throws IOException;

        /** The address for admin calls to this process; null where none is configured. */
        InetSocketAddress admin();

        /**
         * Sets the number of proxies that share the overall limits; on the event loop.
         *
         * @param proxies 1 or more; may be set before the proxy has started
         */
        void sharedBy(int proxies);
    }

    /** Starts the part before the proxy is ready; not on the event loop. If it throws, the proxy does not start. */
    void start(Host host) throws IOException;

    /** Periodic work, ten times a second on the event loop. */
    void sweep(Phase phase);

    /** Answers an admin call with the text after {@code 200}; null where the call is not for this part. */
    String call(String line);

    /** Appends further metrics. */
    void figures(StringBuilder to);

    /** Called on the event loop when the process begins to end. */
    void leave();
}
