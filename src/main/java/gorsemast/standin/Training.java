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
 * Starts a network briefly and exercises all its functions, so that a JVM that archives its classes includes those that the
 * three programs need. Part of the build; not used in production.
 */
public final class Training {
    /** Exit code of a training that failed. */
    static final int FAILED = 1;
    /** Exit code of a training that exceeded its time limit. */
    static final int TOO_LONG = 3;

    private static final int EDGES = 3;
    private static final String NET = "127.0.77";
    /** A training takes some five seconds on a quiet machine; the build continues without one that takes longer than this. */
    private static final long MAX_SECONDS = 60;

    private Training() {}

    /**
     * Takes the working folder and optionally the first port. Ends the process with 0, or with another code and one line on
     * standard error, even if other threads are running.
     */
    public static void main(String[] args) {
        Thread watch = new Thread(Training::watch, "watch");
        watch.setDaemon(true);
        watch.start();
        try {
            train(Path.of(args[0]), args.length > 1 ? Integer.parseInt(args[1]) : 0);
            System.exit(0);
        } catch (Exception | LinkageError e) {
            exit(FAILED, e.toString());
        }
    }

    private static void watch() {
        try {
            TimeUnit.SECONDS.sleep(MAX_SECONDS);
            exit(TOO_LONG, "not finished after " + MAX_SECONDS + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void exit(int code, String reason) {
        System.err.println("training: " + reason);
        Runtime.getRuntime().halt(code);
    }

    private static void train(Path folder, int port) throws IOException, ClassNotFoundException {
        NettyLog.install();
        // Classes used only by the entry point: a class missing from the archive would cause the jar to be opened at
        // each start.
        Class.forName("gorsemast.launcher.Main");
        Class.forName("gorsemast.launcher.Main$Leaving");
        Class.forName("gorsemast.launcher.Main$Rereading");
        Signals.onHangup(() -> {});
        Path data = Files.createTempDirectory(folder, "training");
        if (port == 0) {
            exercise(LoopbackNetwork.started(NET, data, EDGES));
        } else {
            LoopbackNetwork network = new LoopbackNetwork(NET, port, data);
            network.start(EDGES);
            exercise(network);
        }
    }

    private static void exercise(LoopbackNetwork network) {
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
        network.servers().get(3).setBehavior(StandInServer.Behavior.REJECTS);
        network.servers().get(0).drain();
        for (int i = 0; i < 20; i++) {
            network.call(network.fronts().get(i % 3), "GET", "/orders/" + i, LoopbackNetwork.client("q" + i), null);
        }
    }
}
