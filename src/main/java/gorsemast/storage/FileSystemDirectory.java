package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A directory of the file system. Not thread-safe; calls block on the disk. */
final class FileSystemDirectory implements Directory {
    private final Path path;

    /** Uses this directory, which must exist. */
    FileSystemDirectory(Path path) {
        this.path = path;
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = path.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public void write(String name, ByteBuffer bytes) throws IOException {
        try (FileChannel channel =
                FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(false);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
