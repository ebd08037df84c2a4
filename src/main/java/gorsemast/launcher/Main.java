package gorsemast.launcher;

import gorsemast.http.NettyLog;
import gorsemast.http.Signals;
import gorsemast.logging.Log;
import gorsemast.node.Daemon;
import gorsemast.node.Settings;
import gorsemast.node.SettingsException;
import gorsemast.proxy.ProxyProgram;
import gorsemast.registry.RegistryProgram;
import gorsemast.store.StoreProgram;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * Starts {@code proxy}, {@code registry} or {@code store} with the settings file named by {@value
 * Settings#ENVIRONMENT_VARIABLE}.
 */
public final class Main {
    private Main() {}

    /** Runs the named program; any other argument is a usage error. */
    public static void main(String[] args) {
        Signals.ignoreHangup(); // a change of the settings before they are read needs no signal
        NettyLog.install();
        String program = args.length == 1 ? args[0] : "";
        Log log = new Log(program.isEmpty() ? "launcher" : program);
        String file = System.getenv(Settings.ENVIRONMENT_VARIABLE);
        if (file == null || !program.equals("proxy") && !program.equals("registry") && !program.equals("store")) {
            log.warn("usage: " + Settings.ENVIRONMENT_VARIABLE + "=FILE gorsemast proxy|registry|store");
            Log.flush();
            System.exit(2);
        }
        CompletableFuture<Daemon> started = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Leaving(started));
        try {
            long changedAt = new File(file).lastModified();
            Settings settings = Settings.read(Path.of(file));
            Daemon daemon =
                    switch (program) {
                        case "proxy" -> new ProxyProgram(settings);
                        case "registry" -> new RegistryProgram(settings);
                        default -> new StoreProgram(settings);
                    };
            daemon.start();
            // Registered after the start, which clients may be waiting for: the reflective call takes a tenth of the
            // startup time.
            Rereading rereading = new Rereading(daemon, Path.of(file), log);
            Signals.onHangup(rereading);
            if (new File(file).lastModified() != changedAt) {
                rereading.run(); // the signal arrived before the handler was registered
            }
            log.info("running on " + settings.name() + " in " + settings.zone());
            started.complete(daemon);
        } catch (IOException | RuntimeException e) {
            log.warn("cannot start: " + e.getMessage());
            Log.flush();
            started.complete(null);
            System.exit(1);
        } finally {
            started.complete(null); // no effect if it has started
        }
    }

    /** Stops the program in order on SIGTERM. A named class, so that the class data archive contains it. */
    private static final class Leaving extends Thread {
        private final CompletableFuture<Daemon> started;

        Leaving(CompletableFuture<Daemon> started) {
            super("leaving");
            this.started = started;
        }

        @Override
        public void run() {
            Daemon daemon = started.join();
            if (daemon != null) {
                daemon.stop();
                Log.flush();
                Runtime.getRuntime().halt(0); // otherwise the exit code would be that of the signal
            }
        }
    }

    /** Reads the settings again on SIGHUP. */
    private record Rereading(Daemon daemon, Path file, Log log) implements Runnable {
        @Override
        public void run() {
            try {
                daemon.reload(Settings.read(file));
            } catch (SettingsException e) {
                log.warn("reload failed, keeping the previous settings: " + e.getMessage());
            }
        }
    }
}
