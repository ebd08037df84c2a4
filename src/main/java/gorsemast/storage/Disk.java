package gorsemast.storage;

import gorsemast.logging.Log;
import gorsemast.storage.DiskException.Code;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * The records that a store has on its disk: a small state and a large configuration.
 *
 * <p>A snapshot of both is kept in one {@link AlternatingFile} and the state alone in another, with a common sequence
 * of numbers. A save of both writes a snapshot; a save of the state alone writes only the state. The newest valid
 * snapshot counts, with the newest valid state where that is later. So a save is there completely or not at all,
 * wherever a power loss interrupts it, and the space is that of two configurations however many were saved.
 *
 * <p>Not thread-safe; calls block on the disk.
 */
public final class Disk {
    private static final String SNAPSHOT = "snapshot";
    private static final String STATE = "state";
    private static final Log LOG = new Log("storage");

    /** The state and the configuration as saved. */
    public record Saved(byte[] state, byte[] configuration) {}

    private final AlternatingFile snapshot;
    private final AlternatingFile state;
    private long sequence;

    /** Opens the files in this directory; invalid files count as empty. */
    Disk(Directory directory, long incarnation) throws IOException {
        snapshot = new AlternatingFile(directory, SNAPSHOT, incarnation);
        state = new AlternatingFile(directory, STATE, incarnation);
        directory.syncDirectory();
        sequence = Math.max(snapshot.newestSequence(), state.newestSequence());
    }

    /**
     * Opens the files in a directory, which must exist, or imports what an earlier release left there ({@link
     * XodusImport}).
     *
     * @param incarnation a number that no other opening was given
     */
    public static Disk open(Path directory, long incarnation) {
        try {
            Disk disk = new Disk(new FileSystemDirectory(directory), incarnation);
            if (disk.load() == null) {
                Saved imported = XodusImport.read(directory);
                if (imported != null) {
                    LOG.info("imports the records of an earlier release");
                    disk.save(imported.state, imported.configuration);
                }
            }
            XodusImport.remove(directory);
            return disk;
        } catch (IOException e) {
            throw new DiskException(Code.OPEN, e);
        }
    }

    /** Returns what was saved last; null where there is no valid record. */
    public Saved load() {
        if (snapshot.newestSequence() == 0) {
            return null;
        }
        try {
            ByteBuffer both = ByteBuffer.wrap(snapshot.readNewest());
            byte[] snapshotState = new byte[both.getInt()];
            both.get(snapshotState);
            byte[] configuration = new byte[both.remaining()];
            both.get(configuration);
            return new Saved(
                    state.newestSequence() > snapshot.newestSequence() ? state.readNewest() : snapshotState,
                    configuration);
        } catch (IOException e) {
            throw new DiskException(Code.READ, e);
        }
    }

    /**
     * Replaces the state, and the configuration unless that is null, and returns once both are durable. Throws {@link
     * DiskException} if the disk fails; then the save may be there or not, and has to be repeated.
     */
    public void save(byte[] newState, byte[] configuration) {
        if (configuration == null && snapshot.newestSequence() == 0) {
            throw new IllegalArgumentException("the first save needs a configuration");
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
