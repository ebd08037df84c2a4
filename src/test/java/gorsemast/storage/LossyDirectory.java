package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A directory that loses power in the middle of its n-th operation. After that a file has the content of its last sync,
 * and of later writes a first part, a last part, all or nothing; a file whose directory entry was not synced may be
 * gone.
 */
final class LossyDirectory implements Directory {
    /** Injected defects of the layer between a disk and its file system. */
    enum Defect {
        NONE,
        /** A write returns before it is synced. */
        WRITES_UNSYNCED,
        /** What an earlier process left is not synced when it is opened. */
        OPENED_UNSYNCED,
        /** The directory is not synced after files were created. */
        NAMES_UNSYNCED,
        /** Each opening writes under the same incarnation number. */
        SAME_INCARNATION
    }

    /** The power is lost. */
    static final class PowerLost extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final SplittableRandom random;
    private final Defect defect;
    private final Map<String, byte[]> files = new HashMap<>();
    private final Map<String, byte[]> synced = new HashMap<>();
    private final Set<String> syncedNames = new HashSet<>();
    private int operationsLeft;
    boolean full;

    LossyDirectory(long seed, Defect defect) {
        this.random = new SplittableRandom(seed);
        this.defect = defect;
    }

    /** Ends the power or the process in the n-th operation from now. */
    void loseAfter(int operations) {
        operationsLeft = operations;
    }

    private boolean endsNow() {
        return --operationsLeft == 0;
    }

    @Override
    public byte[] read(String name) {
        byte[] bytes = files.get(name);
        return bytes == null ? null : bytes.clone();
    }

    @Override
    public void write(String name, ByteBuffer bytes) throws IOException {
        if (full) {
            throw new IOException("no space left");
        }
        byte[] before = files.getOrDefault(name, new byte[0]);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, bytes.remaining()));
        bytes.get(after, 0, bytes.remaining());
        files.put(name, after);
        synced.putIfAbsent(name, new byte[0]);
        if (endsNow()) {
            throw new PowerLost();
        }
        if (defect != Defect.WRITES_UNSYNCED) {
            synced.put(name, after);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        if (endsNow()) {
            throw new PowerLost();
        }
        if (defect != Defect.OPENED_UNSYNCED) {
            synced.put(name, files.get(name));
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        if (endsNow()) {
            throw new PowerLost();
        }
        if (defect != Defect.NAMES_UNSYNCED) {
            syncedNames.addAll(files.keySet());
        }
    }

    /** Applies a power loss to the files. */
    void powerLost() {
        for (String name : new TreeSet<>(files.keySet())) {
            if (!syncedNames.contains(name) && random.nextBoolean()) {
                files.remove(name);
                synced.remove(name);
            } else {
                byte[] found = torn(synced.get(name), files.get(name));
                files.put(name, found);
                synced.put(name, found);
                syncedNames.add(name);
            }
        }
    }

    private byte[] torn(byte[] before, byte[] after) {
        int cut = after.length == 0 ? 0 : random.nextInt(after.length + 1);
        byte[] found = Arrays.copyOf(before, random.nextBoolean() ? after.length : Math.max(before.length, cut));
        switch (random.nextInt(4)) {
            case 0 -> System.arraycopy(after, 0, found, 0, Math.min(cut, found.length));
            case 1 -> {
                found = Arrays.copyOf(found, after.length);
                System.arraycopy(after, cut, found, cut, after.length - cut);
            }
            case 2 -> found = after.clone();
            default -> found = before.clone();
        }
        return found;
    }
}
