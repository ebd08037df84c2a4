package gorsemast.storage;

import gorsemast.logging.Log;
import gorsemast.storage.DiskException.Code;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * What a store has on its disk: a state, which is small, and a configuration, which is large.
 *
 * <p><b>Idea.</b> A snapshot of both, in two {@link AlternatingFile}, and the state by itself in two more, all under one sequence of
 * numbers. A save of both writes a snapshot; a save of the state alone writes only that. What holds is the newest whole
 * snapshot, with the newest whole state where that is later. So a save is there wholly or not at all, wherever power cuts
 * it, and the space is that of two configurations however many were saved.
 *
 * <p>One thread, which waits for the disk.
 */
public final class Disk {
    private static final String SNAPSHOT = "snapshot";
    private static final String STATE = "state";
    private static final Log LOG = new Log("storage");

    /** Both records. */
    public record Saved(byte[] state, byte[] configuration) {}

    private final AlternatingFile snapshot;
    private final AlternatingFile state;
    private long sequence;

    /** In this folder; what is there and not whole counts as nothing. */
    Disk(Directory folder, long life) throws IOException {
        snapshot = new AlternatingFile(folder, SNAPSHOT, life);
        state = new AlternatingFile(folder, STATE, life);
        folder.syncDirectory();
        sequence = Math.max(snapshot.newest(), state.newest());
    }

    /**
     * Opens what is in a folder, which must exist, or takes over what {@link XodusImport} has there.
     *
     * @param life a number that no other opening was given
     */
    public static Disk open(Path home, long life) {
        try {
            Disk disk = new Disk(new FileSystemDirectory(home), life);
            if (disk.load() == null) {
                Saved former = XodusImport.read(home);
                if (former != null) {
                    LOG.info("takes over the records of an earlier release");
                    disk.save(former.state, former.configuration);
                }
            }
            XodusImport.remove(home);
            return disk;
        } catch (IOException e) {
            throw new DiskException(Code.OPEN, e);
        }
    }

    /** What was saved last; null where nothing whole is there. */
    public Saved load() {
        if (snapshot.newest() == 0) {
            return null;
        }
        try {
            ByteBuffer both = ByteBuffer.wrap(snapshot.content());
            byte[] first = new byte[both.getInt()];
            both.get(first);
            byte[] configuration = new byte[both.remaining()];
            both.get(configuration);
            return new Saved(state.newest() > snapshot.newest() ? state.content() : first, configuration);
        } catch (IOException e) {
            throw new DiskException(Code.READ, e);
        }
    }

    /**
     * Replaces the state, and the configuration unless that is null, and returns when they are safe. Throws
     * {@link DiskException} where the disk refuses; then the save may be there or not, and has to be made again.
     */
    public void save(byte[] newState, byte[] configuration) {
        if (configuration == null && snapshot.newest() == 0) {
            throw new IllegalArgumentException("no configuration yet");
        }
        try {
            sequence++;
            if (configuration == null) {
                state.write(sequence, newState);
            } else {
                ByteBuffer both = ByteBuffer.allocate(Integer.BYTES + newState.length + configuration.length);
                both.putInt(newState.length).put(newState).put(configuration);
                snapshot.write(sequence, both.array());
            }
        } catch (IOException e) {
            throw new DiskException(Code.WRITE, e);
        }
    }
}
