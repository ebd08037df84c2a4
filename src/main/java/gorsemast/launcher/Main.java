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

/** Starts {@code proxy}, {@code registry} or {@code store} by the settings at {@value Settings#ENVIRONMENT_VARIABLE}. */
public final class Main {
    private Main() {}

    /** Runs the named program; any other argument is a usage error. */
    public static void main(String[] args) {
        Signals.ignoreHangup(); // a change of the file before it is read needs no signal
        NettyLog.install();
        String word = args.length == 1 ? args[0] : "";
        Log log = new Log(word.isEmpty() ? "launcher" : word);
        String file = System.getenv(Settings.ENVIRONMENT_VARIABLE);
        if (file == null || !word.equals("proxy") && !word.equals("registry") && !word.equals("store")) {
            log.warn("usage: " + Settings.ENVIRONMENT_VARIABLE + "=FILE gorsemast proxy|registry|store");
            Log.flush();
            System.exit(2);
        }
        CompletableFuture<Daemon> started = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Leaving(started));
        try {
            long changedAt = new File(file).lastModified();
            Settings settings = Settings.read(Path.of(file));
            Daemon program =
                    switch (word) {
                        case "proxy" -> new ProxyProgram(settings);
                        case "registry" -> new RegistryProgram(settings);
                        default -> new StoreProgram(settings);
                    };
            program.start();
            // Behind the start, which somebody may be waiting for; heard of by reflection, it takes a tenth of that.
            Rereading rereading = new Rereading(program, Path.of(file), log);
            Signals.onHangup(rereading);
            if (new File(file).lastModified() != changedAt) {
                rereading.run(); // its signal came while it was not heard
            }
            log.info("runs on " + settings.name() + " in " + settings.zone());
            started.complete(program);
        } catch (IOException | RuntimeException e) {
            log.warn("can't start: " + e.getMessage());
            Log.flush();
            started.complete(null);
            System.exit(1);
        } finally {
            started.complete(null); // without effect where it has started
        }
    }

    /** SIGTERM: the program leaves in order. A class with a name, so that the archive of classes has it. */
    private static final class Leaving extends Thread {
        private final CompletableFuture<Daemon> started;

        Leaving(CompletableFuture<Daemon> started) {
            super("leaving");
            this.started = started;
        }

        @Override
        public void run() {
            Daemon program = started.join();
            if (program != null) {
                program.stop();
                Log.flush();
                Runtime.getRuntime().halt(0); // else the signal would be the exit code
            }
        }
    }

    /** SIGHUP: the settings are read again. */
    private record Rereading(Daemon program, Path file, Log log) implements Runnable {
        @Override
        public void run() {
            try {
                program.reload(Settings.read(file));
            } catch (SettingsException e) {
                log.warn("keeps its settings: " + e.getMessage());
            }
        }
    }
}
