package gorsemast.command;

import anisebend.net.ProxyServer;
import gorsemast.peers.FleetPart;
import gorsemast.settings.GorsemastSettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one proxy from the platform's configuration, with the parts that the settings enable. */
@Command(
        name = "serve",
        description = {
            "Serves as PROXY_CONFIG in the environment says, with the parts that the settings " + "turn on.",
            "SIGTERM ends it in good order, SIGHUP has PROXY_CONFIG read anew."
        })
final class Serve implements Callable<Integer> {
    @Option(names = "--settings", paramLabel = "FILE", description = "The product's settings; without, no part is on.")
    private Path file;

    @Override
    public Integer call() throws IOException, InterruptedException {
        GorsemastSettings settings = file == null
                ? new GorsemastSettings(new GorsemastSettings.Log(false, "info"), null)
                : Gorsemast.settings(file);
        if (settings == null) {
            return Gorsemast.USAGE;
        }
        Logs.install(settings.log());
        Logger log = LoggerFactory.getLogger("gorsemast");
        ProxyServer server = ProxyServer.of(System.getenv(), log::info);
        if (settings.peers() != null) {
            server.with(new FleetPart(settings.peers(), server.name(), server.proxies()));
        }
        server.reloadOnHangup();
        server.startWarm();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            server.drain();
                            Runtime.getRuntime()
                                    .halt(Gorsemast.DONE); // otherwise the signal would determine the exit code
                        },
                        "drain"));
        new CountDownLatch(1).await(); // the loop's thread serves; a signal ends the process
        return Gorsemast.DONE;
    }
}
