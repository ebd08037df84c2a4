package gorsemast.upgrade;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Which of a proxy's processes is the present one, and whether another is there to follow it.
 *
 * <p><b>Idea.</b> Two files in a folder that the processes share, each with a lock (POSIX {@code fcntl}) that the system
 * lets go when its holder ends, however it ends; so nothing stale is ever left behind, as a process id in a file would
 * be. Whoever holds {@code present.lock} is the present process. One that finds it taken holds {@code next.lock} until
 * the other has ended, and then moves up. The present process sees that it has a successor by trying that lock.
 *
 * <p><b>When it could hurt.</b> A third process finds both taken; it takes itself for a successor all the same and holds
 * no lock, so the first does not know of it. Both files stay, empty.
 *
 * <p><b>Threads.</b> One at a time. Each call makes a few system calls on files in memory and never waits.
 */
public final class Succession implements AutoCloseable {
    private final FileChannel present;
    private final FileChannel next;
    private FileLock first;
    private FileLock second;

    /**
     * Finds out which process this is.
     *
     * @throws IOException where the folder can't be written to
     */
    public Succession(Path folder) throws IOException {
        Files.createDirectories(folder);
        present = open(folder.resolve("present.lock"));
        next = open(folder.resolve("next.lock"));
        look();
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Looks again: moves up where the process before this one has ended. */
    public void look() {
        if (first != null) {
            return;
        }
        first = tryLock(present);
        if (first == null && second == null) {
            second = tryLock(next);
        } else if (first != null && second != null) {
            release(second);
            second = null;
        }
    }

    /** Whether the process that was there before is still alive. */
    public boolean hasPredecessor() {
        return first == null;
    }

    /** Whether another process has come to follow this one. */
    public boolean hasSuccessor() {
        if (first == null) {
            return false;
        }
        FileLock tried = tryLock(next);
        if (tried == null) {
            return true;
        }
        release(tried);
        return false;
    }

    private static FileLock tryLock(FileChannel file) {
        try {
            return file.tryLock();
        } catch (IOException | OverlappingFileLockException e) {
            return null; // taken, or nobody can tell: then keep to what is safe for two
        }
    }

    private static void release(FileLock lock) {
        try {
            lock.release();
        } catch (IOException e) {
            // It goes with the process at the latest.
        }
    }

    @Override
    public void close() throws IOException {
        present.close();
        next.close();
    }
}
