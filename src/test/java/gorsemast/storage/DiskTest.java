package gorsemast.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gorsemast.storage.LossyDirectory.Defect;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A save is present completely or not at all, and a completed one always, whatever a power loss or a kill leaves. */
class DiskTest {
    private static final int SEEDS = 4_000;

    @TempDir
    Path home;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(Disk.Saved saved) {
        return saved == null
                ? "nothing"
                : new String(saved.state(), StandardCharsets.UTF_8)
                        + "/"
                        + new String(saved.configuration(), StandardCharsets.UTF_8);
    }

    @Test
    void aPowerLossInAnyOperationLeavesTheLastSaveOrTheOneInProgress() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(firstLoss(seed, Defect.NONE)).as("seed " + seed).isNull();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Defect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void injectedDefectsAreFound(Defect defect) {
        boolean found = false;
        for (int seed = 0; seed < SEEDS && !found; seed++) {
            found = firstLoss(seed, defect) != null;
        }
        assertThat(found).isTrue();
    }

    /** Runs processes that end in the middle of an operation; returns what was lost, or null. */
    private static String firstLoss(long seed, Defect defect) {
        SplittableRandom random = new SplittableRandom(seed);
        LossyDirectory directory = new LossyDirectory(seed, defect);
        String saved = "nothing";
        String inProgress = saved;
        String configuration = "";
        int number = 0;
        for (int process = 0; process < 6; process++) {
            directory.loseAfter(1 + random.nextInt(14));
            try {
                Disk disk = new Disk(directory, defect == Defect.SAME_INCARNATION ? 1 : random.nextLong());
                String found = text(disk.load());
                if (!found.equals(saved) && !found.equals(inProgress)) {
                    return found + " is found after " + saved + " was saved";
                }
                saved = found;
                inProgress = saved;
                configuration = saved.substring(saved.indexOf('/') + 1);
                while (true) {
                    boolean both = saved.equals("nothing") || random.nextBoolean();
                    configuration = both ? "c" + ++number + "x".repeat(random.nextInt(40)) : configuration;
                    String state = "s" + ++number;
                    inProgress = state + "/" + configuration;
                    disk.save(bytes(state), both ? bytes(configuration) : null);
                    saved = inProgress;
                }
            } catch (DiskException | IOException e) {
                if (random.nextInt(3) > 0) {
                    directory.powerLost();
                } // otherwise the process is killed, and what it wrote is there, synced or not
            }
        }
        return null;
    }

    @Test
    void aFullDiskKeepsItsContentAndTakesTheNextSaveOnceItHasSpace() throws IOException {
        LossyDirectory directory = new LossyDirectory(1, Defect.NONE);
        Disk disk = new Disk(directory, 1);
        disk.save(bytes("s1"), bytes("c1"));
        directory.full = true;
        assertThatThrownBy(() -> disk.save(bytes("s2"), bytes("c2"))).isInstanceOf(DiskException.class);
        assertThat(text(new Disk(directory, 1).load())).isEqualTo("s1/c1");
        directory.full = false;
        disk.save(bytes("s3"), bytes("c3"));
        assertThat(text(new Disk(directory, 1).load())).isEqualTo("s3/c3");
    }

    /** On a real file system: the newest file of each kind, truncated at every byte and with every byte changed. */
    @Test
    void aTruncatedOrCorruptedFileIsIgnoredAndThePreviousRecordCounts() throws IOException {
        Disk disk = Disk.open(home, 1);
        disk.save(bytes("s1"), bytes("c1"));
        disk.save(bytes("s2"), bytes("c2"));
        assertRecovery("snapshot.1", "s2/c2", "s1/c1");
        disk.save(bytes("s3"), null);
        disk.save(bytes("s4"), null);
        assertRecovery("state.1", "s4/c2", "s3/c2");
        assertRecovery("snapshot.1", "s4/c2", "s4/c1");
    }

    private void assertRecovery(String name, String whole, String before) throws IOException {
        Path file = home.resolve(name);
        byte[] valid = Files.readAllBytes(file);
        for (int at = 0; at < valid.length; at++) {
            Files.write(file, Arrays.copyOf(valid, at));
            assertThat(text(Disk.open(home, 1).load())).as("cut at " + at).isEqualTo(before);
            byte[] changed = valid.clone();
            changed[at] ^= (byte) (1 << at % Byte.SIZE);
            Files.write(file, changed);
            assertThat(text(Disk.open(home, 1).load())).as("changed at " + at).isEqualTo(before);
        }
        Files.write(file, valid);
        assertThat(text(Disk.open(home, 1).load())).isEqualTo(whole);
    }

    @Test
    void spaceIsThatOfTwoConfigurationsHoweverManyWereSaved() throws IOException {
        byte[] large = new byte[200_000];
        Disk disk = Disk.open(home, 1);
        for (int change = 0; change < 2_000; change++) {
            large[change] = 1;
            disk.save(bytes("s" + change), change % 2 == 0 ? large : null);
        }
        assertThat(used()).isLessThan(410_000);
        assertThat(text(Disk.open(home, 1).load())).startsWith("s1999/");
    }

    private long used() throws IOException {
        try (Stream<Path> files = Files.walk(home)) {
            List<Path> all = files.filter(Files::isRegularFile).toList();
            long sum = 0;
            for (Path file : all) {
                sum += Files.size(file);
            }
            return sum;
        }
    }
}
