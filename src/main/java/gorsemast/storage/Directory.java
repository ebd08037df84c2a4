package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The files of one folder, by name, as a {@link Disk} needs them. Each call waits for the disk; one thread.
 *
 * <p>A write and the name of a file are made safe apart from each other: after a loss of power a file whose name was not
 * synced may be gone, however often its content was.
 */
interface Directory {
    /** All of a file; null where there is none. */
    byte[] read(String name) throws IOException;

    /** Writes these bytes over the beginning of a file, which is made where it lacks, and syncs its content. */
    void write(String name, ByteBuffer bytes) throws IOException;

    /** Syncs the content of a file that is there, whoever has written it. */
    void sync(String name) throws IOException;

    /** Syncs the names of all files. */
    void syncDirectory() throws IOException;
}
