package gorsemast.standin;

import gorsemast.http.NettyLog;
import gorsemast.http.Signals;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs a network for a moment and asks it for a bit of everything, so that a JVM that is told to archive its classes has
 * those that the three programs need. Part of the build; nothing of it runs in service.
 */
public final class Training {
    private Training() {}

    /** Takes the folder to work in. */
    public static void main(String[] args) throws IOException, ClassNotFoundException {
        NettyLog.install();
        // What only the entry point uses: one class that is not in the archive has the jar opened at each start.
        Class.forName("gorsemast.launcher.Main");
        Class.forName("gorsemast.launcher.Main$Leaving");
        Class.forName("gorsemast.launcher.Main$Rereading");
        Signals.onHangup(() -> {});
        Path data = Files.createTempDirectory(Path.of(args[0]), "training");
        int port = 21_000 + (int) (ProcessHandle.current().pid() % 20_000);
        LoopbackNetwork network = new LoopbackNetwork("127.0.77", port, data);
        network.start(3);
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
        network.call(network.controls().get(1), "POST", "/v1/purge", Map.of(), "{\"tag\":\"all\"}".getBytes());
        network.call(network.controls().get(1), "POST", "/v1/configuration/replace", Map.of(), "{".getBytes());
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
        System.exit(0);
    }
}
