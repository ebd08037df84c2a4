package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A folder of the file system. One thread, which waits for the disk. */
final class FileSystemDirectory implements Directory {
    private final Path home;

    /** In this folder, which must exist. */
    FileSystemDirectory(Path home) {
        this.home = home;
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = home.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public void write(String name, ByteBuffer bytes) throws IOException {
        try (FileChannel channel =
                FileChannel.open(home.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(false);
        }
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel channel = FileChannel.open(home.resolve(name), StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(home, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
