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
 * A folder that loses power in the middle of its n-th operation: what a file was last synced with is there, of what was
 * written since a first part, a last part, all or nothing; and each file whose name was not synced may be gone by itself.
 */
final class LossyFolder implements Directory {
    /** Defects of what stands between a disk and its file system. */
    enum Defect {
        NONE,
        /** A write returns before it is synced. */
        WRITES_UNSYNCED,
        /** What an earlier life left is not synced when it is opened. */
        OPENED_UNSYNCED,
        /** The folder is not synced after files were made. */
        NAMES_UNSYNCED,
        /** Each opening writes under the same number of a life. */
        LIVES_ALIKE
    }

    /** Power is gone. */
    static final class PowerLost extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final SplittableRandom random;
    private final Defect defect;
    private final Map<String, byte[]> files = new HashMap<>();
    private final Map<String, byte[]> synced = new HashMap<>();
    private final Set<String> names = new HashSet<>();
    private int left;
    boolean full;

    LossyFolder(long seed, Defect defect) {
        this.random = new SplittableRandom(seed);
        this.defect = defect;
    }

    /** Power, or where it is none the process, ends in the n-th operation from now. */
    void loseAfter(int operations) {
        left = operations;
    }

    private boolean ends() {
        return --left == 0;
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
        if (ends()) {
            throw new PowerLost();
        }
        if (defect != Defect.WRITES_UNSYNCED) {
            synced.put(name, after);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        if (ends()) {
            throw new PowerLost();
        }
        if (defect != Defect.OPENED_UNSYNCED) {
            synced.put(name, files.get(name));
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        if (ends()) {
            throw new PowerLost();
        }
        if (defect != Defect.NAMES_UNSYNCED) {
            names.addAll(files.keySet());
        }
    }

    /** What is found when power is back. */
    void powerLost() {
        for (String name : new TreeSet<>(files.keySet())) {
            if (!names.contains(name) && random.nextBoolean()) {
                files.remove(name);
                synced.remove(name);
            } else {
                byte[] found = torn(synced.get(name), files.get(name));
                files.put(name, found);
                synced.put(name, found);
                names.add(name);
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
