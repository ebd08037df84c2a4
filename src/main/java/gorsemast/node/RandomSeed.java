package gorsemast.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Random numbers for ids and seeds that differ between processes; not for secrets. They come from the operating system's
 * device, as {@code SecureRandom} would first load and set up all security providers.
 */
public final class RandomSeed {
    private static final Path SOURCE = Path.of("/dev/urandom");

    private RandomSeed() {}

    /** Returns a new random number; without the device, one derived from time and process id. */
    public static long next() {
        try (DataInputStream in = new DataInputStream(Files.newInputStream(SOURCE))) {
            return in.readLong();
        } catch (IOException e) {
            long z = System.nanoTime() * 0x9e3779b97f4a7c15L
                    ^ ProcessHandle.current().pid() << 32
                    ^ System.currentTimeMillis();
            z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
            return z ^ z >>> 31;
        }
    }
}
