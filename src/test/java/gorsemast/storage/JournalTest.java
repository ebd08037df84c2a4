package gorsemast.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is read back after records were appended, torn at each byte, overwritten or refused. */
class JournalTest {
    @TempDir
    Path directory;

    private static List<byte[]> records(String... texts) {
        return Stream.of(texts)
                .map(text -> text.getBytes(StandardCharsets.UTF_8))
                .toList();
    }

    private List<String> readBack() {
        try (Journal journal = Journal.open(directory)) {
            return journal.read().stream()
                    .map(record -> new String(record, StandardCharsets.UTF_8))
                    .toList();
        }
    }

    private void append(String... texts) {
        try (Journal journal = Journal.open(directory)) {
            journal.read();
            journal.append(records(texts));
        }
    }

    @Test
    void readsAppendedRecordsInOrder() {
        assertThat(readBack()).isEmpty();
        append("one", "two");
        append("three");
        assertThat(readBack()).containsExactly("one", "two", "three");
    }

    @Test
    void ignoresATailTornAtAnyByteAndOverwritesIt() throws IOException {
        append("one", "two");
        long completeLength = Files.size(directory.resolve("journal"));
        append("the third one");
        byte[] bytes = Files.readAllBytes(directory.resolve("journal"));
        for (int length = (int) completeLength; length < bytes.length; length++) {
            Files.write(directory.resolve("journal"), java.util.Arrays.copyOf(bytes, length));
            assertThat(readBack()).containsExactly("one", "two");
            append("4");
            assertThat(readBack()).containsExactly("one", "two", "4");
        }
        bytes[bytes.length - 3] ^= 1;
        Files.write(directory.resolve("journal"), bytes);
        assertThat(readBack()).containsExactly("one", "two");
    }

    @Test
    void remainsBehindAShorterRecordAreIgnored() throws IOException {
        append("a long record that was torn when power was lost");
        byte[] damaged = Files.readAllBytes(directory.resolve("journal"));
        damaged[9] ^= 1;
        Files.write(directory.resolve("journal"), damaged);
        append("new");
        assertThat(readBack()).containsExactly("new");
    }

    @Test
    void isEmptyOnceCleared() {
        try (Journal journal = Journal.open(directory)) {
            journal.read();
            journal.append(records("one"));
            journal.clear();
            assertThat(journal.size()).isZero();
            journal.append(records("two"));
        }
        assertThat(readBack()).containsExactly("two");
    }

    @Test
    void aRefusedWriteIsReported() {
        Journal journal = Journal.open(directory);
        journal.read();
        journal.close();
        assertThatThrownBy(() -> journal.append(records("one")))
                .isInstanceOfSatisfying(
                        DiskException.class, e -> assertThat(e.code()).isEqualTo(DiskException.Code.WRITE));
    }
}
