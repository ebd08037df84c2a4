package gorsemast.upgrade;

import gorsemast.upgrade.Generations.Member;
import gorsemast.upgrade.Generations.Standing;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * How a proxy's processes know of each other: a file for each in a folder that they share.
 *
 * <p><b>Idea.</b> A process holds a lock (POSIX {@code fcntl}) on its file, which the system lets go when it ends, however
 * it ends; so nothing stale is ever believed, as a process id in a file would be. The file's name has the order in which
 * the processes came, its one byte what the process is doing. The file is locked under a passing name before it gets its
 * own by a hard link, which fails where the name is taken: so no file is ever there without its lock, and two that start
 * at once get different orders. Whoever finds a file that nobody locks deletes it.
 *
 * <p><b>When it could hurt.</b> On file systems without locks or hard links there is no folder to share: the process is
 * alone then, and its end is a restart.
 *
 * <p><b>Threads.</b> One at a time. Each call makes a few system calls for each process and never waits.
 */
public final class Succession implements AutoCloseable {
    private static final String NAME = "process-";
    private static final String PASSING = "joining-";
    /** More than ever are there at once; a folder full of foreign files must not cost a turn of the loop. */
    private static final int LOOKED_AT = 64;

    private final Path folder;
    private final Path file;
    private final FileChannel mine;
    private final Generations generations;
    private Standing told;

    /**
     * Joins the processes of a folder.
     *
     * @throws IOException where the folder can't be written to or has no locks
     */
    public Succession(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        Path joining = Files.createTempFile(folder, PASSING, "");
        mine = FileChannel.open(joining, StandardOpenOption.WRITE);
        try {
            if (mine.tryLock() == null) {
                throw new IOException("no locks in " + folder);
            }
            tell(Standing.STARTING);
            long order = lastOrder() + 1;
            Path named = named(order);
            while (!linked(named, joining)) {
                named = named(++order);
            }
            file = named;
            generations = new Generations(order);
        } catch (IOException | RuntimeException e) {
            mine.close();
            throw e;
        } finally {
            Files.deleteIfExists(joining);
        }
        look();
    }

    private Path named(long order) {
        return folder.resolve(NAME + order);
    }

    private static boolean linked(Path name, Path joining) throws IOException {
        try {
            Files.createLink(name, joining);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (UnsupportedOperationException e) {
            throw new IOException("no hard links in " + name.getParent(), e);
        }
    }

    private long lastOrder() throws IOException {
        long last = 0;
        for (Path each : files()) {
            last = Math.max(last, order(each));
        }
        return last;
    }

    private List<Path> files() throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, NAME + "*")) {
            for (Path each : all) {
                if (order(each) > 0 && files.size() < LOOKED_AT) {
                    files.add(each);
                }
            }
        }
        return files;
    }

    /** The order in a file's name; 0 for one that is none of ours. */
    private static long order(Path each) {
        try {
            return Long.parseLong(each.getFileName().toString().substring(NAME.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Says what this process is doing. */
    public void tell(Standing standing) {
        if (standing != told) {
            told = standing;
            try {
                mine.write(ByteBuffer.wrap(new byte[] {standing.sign}), 0);
            } catch (IOException e) {
                told = null; // said again at the next turn
            }
        }
    }

    /** Looks again who is there. What can't be looked at now is left as it was. */
    public void look() {
        List<Member> alive = new ArrayList<>();
        try {
            for (Path each : files()) {
                // To close a file that this process has locked would let go of its lock.
                if (!each.equals(file)) {
                    look(each, alive);
                }
            }
        } catch (IOException e) {
            return;
        }
        generations.seen(alive);
    }

    private static void look(Path each, List<Member> alive) {
        try (FileChannel other = FileChannel.open(each, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (free(other)) {
                Files.deleteIfExists(each);
                return;
            }
            ByteBuffer sign = ByteBuffer.allocate(1);
            alive.add(new Member(order(each), Standing.of(other.read(sign, 0) == 1 ? sign.get(0) : -1)));
        } catch (IOException e) {
            return; // it has just gone
        }
    }

    private static boolean free(FileChannel other) throws IOException {
        try (FileLock lock = other.tryLock()) {
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    /** What the processes are to each other, as of the last look. */
    public Generations generations() {
        return generations;
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
        mine.close();
    }
}
