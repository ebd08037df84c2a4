package gorsemast.standin;

import gorsemast.http.NettyLog;
import gorsemast.http.Signals;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Runs a network for a moment and asks it for a bit of everything, so that a JVM that is told to archive its classes has
 * those that the three programs need. Part of the build; nothing of it runs in service.
 */
public final class Training {
    /** Exit code of a training that could not be done. */
    static final int FAILED = 1;
    /** Exit code of one that did not end by itself. */
    static final int TOO_LONG = 3;

    private static final int EDGES = 3;
    private static final String NET = "127.0.77";
    /** A training takes some five seconds on a quiet machine; the build goes on without one that takes longer than this. */
    private static final long MOST_SECONDS = 60;

    private Training() {}

    /**
     * Takes the folder to work in, and the first of the ports where the system is not to choose. Ends the process with 0, or with
     * another code and one line on standard error, whatever threads there are.
     */
    public static void main(String[] args) {
        Thread watch = new Thread(Training::watch, "watch");
        watch.setDaemon(true);
        watch.start();
        try {
            train(Path.of(args[0]), args.length > 1 ? Integer.parseInt(args[1]) : 0);
            System.exit(0);
        } catch (Exception | LinkageError e) {
            end(FAILED, e.toString());
        }
    }

    private static void watch() {
        try {
            TimeUnit.SECONDS.sleep(MOST_SECONDS);
            end(TOO_LONG, "not over after " + MOST_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void end(int code, String why) {
        System.err.println("training: " + why);
        Runtime.getRuntime().halt(code);
    }

    private static void train(Path folder, int port) throws IOException, ClassNotFoundException {
        NettyLog.install();
        // What only the entry point uses: one class that is not in the archive has the jar opened at each start.
        Class.forName("gorsemast.launcher.Main");
        Class.forName("gorsemast.launcher.Main$Leaving");
        Class.forName("gorsemast.launcher.Main$Rereading");
        Signals.onHangup(() -> {});
        Path data = Files.createTempDirectory(folder, "training");
        if (port == 0) {
            ask(LoopbackNetwork.started(NET, data, EDGES));
        } else {
            LoopbackNetwork network = new LoopbackNetwork(NET, port, data);
            network.start(EDGES);
            ask(network);
        }
    }

    private static void ask(LoopbackNetwork network) {
        for (int i = 0; i < 60; i++) {
            Map<String, String> headers = new HashMap<>(LoopbackNetwork.client("t" + i));
            headers.put("Range", "bytes=2-5");
            network.call(
                    network.fronts().get(i % 3),
                    "GET",
                    "/objects/" + i % 20,
                    i % 2 == 0 ? headers : LoopbackNetwork.client("u" + i),
                    null);
            network.call(
                    network.fronts().get(i % 3),
                    "POST",
                    "/orders/pay/" + i,
                    LoopbackNetwork.client("p" + i),
                    new byte[500]);
            network.call(network.fronts().get(i % 3), "GET", "/orders/" + i, LoopbackNetwork.client("o" + i), null);
        }
        network.call(network.fronts().get(0), "GET", "/none", LoopbackNetwork.client("n"), null);
        network.call(
                network.controls().get(1),
                "POST",
                "/v1/purge",
                Map.of(),
                "{\"tag\":\"all\"}".getBytes(StandardCharsets.UTF_8));
        network.call(
                network.controls().get(1),
                "POST",
                "/v1/configuration/replace",
                Map.of(),
                "{".getBytes(StandardCharsets.UTF_8));
        network.call(
                network.controls().get(2),
                "POST",
                "/v1/configuration/replace",
                Map.of(),
                LoopbackNetwork.configuration(2, "5s"));
        network.call(network.controls().get(2), "GET", "/v1/configuration/read", Map.of(), null);
        network.servers().get(3).manner(StandInServer.Manner.TURNS_AWAY);
        network.servers().get(0).drain();
        for (int i = 0; i < 20; i++) {
            network.call(network.fronts().get(i % 3), "GET", "/orders/" + i, LoopbackNetwork.client("q" + i), null);
        }
    }
}
