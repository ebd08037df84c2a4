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

/** What is read back after records were appended, torn at each byte, written over, or refused. */
class JournalTest {
    @TempDir
    Path folder;

    private static List<byte[]> records(String... texts) {
        return Stream.of(texts)
                .map(text -> text.getBytes(StandardCharsets.UTF_8))
                .toList();
    }

    private List<String> readBack() {
        try (Journal journal = Journal.open(folder)) {
            return journal.read().stream()
                    .map(record -> new String(record, StandardCharsets.UTF_8))
                    .toList();
        }
    }

    private void append(String... texts) {
        try (Journal journal = Journal.open(folder)) {
            journal.read();
            journal.append(records(texts));
        }
    }

    @Test
    void readsWhatWasAppendedInOrder() {
        assertThat(readBack()).isEmpty();
        append("one", "two");
        append("three");
        assertThat(readBack()).containsExactly("one", "two", "three");
    }

    @Test
    void cutsATornTailAtEachByteAndWritesOverIt() throws IOException {
        append("one", "two");
        long whole = Files.size(folder.resolve("journal"));
        append("the third one");
        byte[] all = Files.readAllBytes(folder.resolve("journal"));
        for (int length = (int) whole; length < all.length; length++) {
            Files.write(folder.resolve("journal"), java.util.Arrays.copyOf(all, length));
            assertThat(readBack()).containsExactly("one", "two");
            append("4");
            assertThat(readBack()).containsExactly("one", "two", "4");
        }
        all[all.length - 3] ^= 1;
        Files.write(folder.resolve("journal"), all);
        assertThat(readBack()).containsExactly("one", "two");
    }

    @Test
    void whatRemainsBehindAShorterRecordIsNoRecord() throws IOException {
        append("a long record that was torn when power was lost");
        byte[] old = Files.readAllBytes(folder.resolve("journal"));
        old[9] ^= 1;
        Files.write(folder.resolve("journal"), old);
        append("new");
        assertThat(readBack()).containsExactly("new");
    }

    @Test
    void isEmptyOnceCleared() {
        try (Journal journal = Journal.open(folder)) {
            journal.read();
            journal.append(records("one"));
            journal.clear();
            assertThat(journal.size()).isZero();
            journal.append(records("two"));
        }
        assertThat(readBack()).containsExactly("two");
    }

    @Test
    void aRefusedWriteIsSaid() {
        Journal journal = Journal.open(folder);
        journal.read();
        journal.close();
        assertThatThrownBy(() -> journal.append(records("one")))
                .isInstanceOfSatisfying(
                        DiskException.class, e -> assertThat(e.code()).isEqualTo(DiskException.Code.WRITE));
    }
}
