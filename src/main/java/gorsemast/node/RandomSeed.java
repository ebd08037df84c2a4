package gorsemast.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Numbers that no other process draws too, for ids and seeds; nothing secret rests on them. From the system's own source:
 * the library's generator would load and set up the providers of all ciphers first.
 */
public final class RandomSeed {
    private static final Path SOURCE = Path.of("/dev/urandom");

    private RandomSeed() {}

    /** A fresh one. */
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
