package gorsemast.http;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, for which the standard library has no API. The only way is {@code sun.misc.Signal} of the supported
 * module jdk.unsupported. It is called by reflection because javac warns about each direct use, the warning can't be
 * suppressed, and warnings are errors in this build.
 */
public final class Signals {
    private Signals() {}

    /** Runs the task on each SIGHUP, on a separate thread. Without a handler the JVM exits on SIGHUP. */
    public static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handle = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        task.run();
                        return null;
                    });
            handle(signal, handler, handle);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }

    /** Ignores SIGHUP from now on. Much faster than {@link #onHangup}, so it can be called before everything else. */
    public static void ignoreHangup() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            handle(signal, handler, handler.getField("SIG_IGN").get(null));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }

    private static void handle(Class<?> signal, Class<?> handler, Object handle) throws ReflectiveOperationException {
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handle);
    }
}
