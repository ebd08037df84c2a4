package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The files of one directory, by name, as {@link Disk} needs them. Calls block on the disk; not thread-safe.
 *
 * <p>The content of a file and its directory entry are synced separately: after a power loss a file whose directory
 * entry was not synced may be gone, however often its content was.
 */
interface Directory {
    /** Returns the whole content of a file; null where it doesn't exist. */
    byte[] read(String name) throws IOException;

    /** Writes these bytes over the beginning of a file, created if missing, and syncs its content. */
    void write(String name, ByteBuffer bytes) throws IOException;

    /** Syncs the content of an existing file, whichever process wrote it. */
    void sync(String name) throws IOException;

    /** Syncs the directory entries of all files. */
    void syncDirectory() throws IOException;
}
