package anisebend;

import anisebend.net.ProxyServer;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/**
 * Entry point of the jar: {@code serve} runs the proxy, {@code adapter} runs balancers for the simulator over
 * standard input and output.
 */
public final class Main {
    private Main() {}

    /** Runs the named program; any other argument is a usage error. */
    public static void main(String[] args) throws IOException {
        switch (args.length == 1 ? args[0] : "") {
            case "adapter" -> System.exit(new Adapter(System.in, System.out, System.err).run());
            case "serve" -> serve();
            default -> {
                System.err.println("usage: anisebend serve|adapter");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        // A restart may stop a process that has only just started, and it must not exit before it knows whether another
        // process has clients. So the SIGTERM hook is registered before anything else is loaded.
        CompletableFuture<ProxyServer> started = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Thread() {
            @Override
            public void run() {
                ProxyServer server = started.join();
                if (server != null) {
                    server.drain();
                    Runtime.getRuntime().halt(0); // otherwise the exit code would report the signal
                }
            }
        });
        try {
            ProxyServer server = ProxyServer.of(System.getenv());
            if (Boolean.getBoolean("gorsemast.trace")) {
                server.trace(Math.max(10, Long.getLong("gorsemast.trace.millis", 1_000)));
            }
            server.reloadOnHangup(); // before it reports itself ready
            started.complete(server.startWarm());
        } catch (IOException e) {
            System.err.println("anisebend: " + e.getMessage());
            started.complete(null); // before exit(), which waits for the shutdown hook
            System.exit(1);
        } finally {
            started.complete(null); // after any other exception; no effect if already completed
        }
    }
}
