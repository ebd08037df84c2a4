package gorsemast.node;

import java.io.IOException;

/** One of the three programs, as the entry point drives it. */
public interface Daemon {
    /** Begins; throws where it can't. Not on its loop. */
    void start() throws IOException;

    /** The settings file may have changed. */
    void reload(Settings settings);

    /** The process is to end; returns when nothing is left to do. */
    void stop();
}
