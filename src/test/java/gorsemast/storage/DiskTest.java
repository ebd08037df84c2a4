package gorsemast.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gorsemast.storage.LossyFolder.Defect;
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

/** A save is there wholly or not at all, and what has returned is there, whatever power or a process's end leaves. */
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
    void powerLostInAnyOperationLeavesTheLastSaveOrTheOneUnderWay() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(lost(seed, Defect.NONE)).as("seed " + seed).isNull();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Defect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(Defect defect) {
        boolean found = false;
        for (int seed = 0; seed < SEEDS && !found; seed++) {
            found = lost(seed, defect) != null;
        }
        assertThat(found).isTrue();
    }

    /** Plays lives that end in the middle of something; says what was lost, or null. */
    private static String lost(long seed, Defect defect) {
        SplittableRandom random = new SplittableRandom(seed);
        LossyFolder folder = new LossyFolder(seed, defect);
        String held = "nothing";
        String underWay = held;
        String configuration = "";
        int number = 0;
        for (int life = 0; life < 6; life++) {
            folder.loseAfter(1 + random.nextInt(14));
            try {
                Disk disk = new Disk(folder, defect == Defect.LIVES_ALIKE ? 1 : random.nextLong());
                String found = text(disk.load());
                if (!found.equals(held) && !found.equals(underWay)) {
                    return found + " is found after " + held + " was saved";
                }
                held = found;
                underWay = held;
                configuration = held.substring(held.indexOf('/') + 1);
                while (true) {
                    boolean both = held.equals("nothing") || random.nextBoolean();
                    configuration = both ? "c" + ++number + "x".repeat(random.nextInt(40)) : configuration;
                    String state = "s" + ++number;
                    underWay = state + "/" + configuration;
                    disk.save(bytes(state), both ? bytes(configuration) : null);
                    held = underWay;
                }
            } catch (DiskException | IOException e) {
                if (random.nextInt(3) > 0) {
                    folder.powerLost();
                } // else the process is killed, and what it wrote is there, synced or not
            }
        }
        return null;
    }

    @Test
    void aFullDiskKeepsWhatItHasAndTakesTheNextSaveOnceItCan() throws IOException {
        LossyFolder folder = new LossyFolder(1, Defect.NONE);
        Disk disk = new Disk(folder, 1);
        disk.save(bytes("s1"), bytes("c1"));
        folder.full = true;
        assertThatThrownBy(() -> disk.save(bytes("s2"), bytes("c2"))).isInstanceOf(DiskException.class);
        assertThat(text(new Disk(folder, 1).load())).isEqualTo("s1/c1");
        folder.full = false;
        disk.save(bytes("s3"), bytes("c3"));
        assertThat(text(new Disk(folder, 1).load())).isEqualTo("s3/c3");
    }

    /** On a real disk: the newest file of each kind, cut at every byte and with every byte changed. */
    @Test
    void aFileThatIsCutOrChangedAnywhereCountsAsNothingAndTheRecordBeforeHolds() throws IOException {
        Disk disk = Disk.open(home, 1);
        disk.save(bytes("s1"), bytes("c1"));
        disk.save(bytes("s2"), bytes("c2"));
        damaged("snapshot.1", "s2/c2", "s1/c1");
        disk.save(bytes("s3"), null);
        disk.save(bytes("s4"), null);
        damaged("state.1", "s4/c2", "s3/c2");
        damaged("snapshot.1", "s4/c2", "s4/c1");
    }

    private void damaged(String name, String whole, String before) throws IOException {
        Path file = home.resolve(name);
        byte[] good = Files.readAllBytes(file);
        for (int at = 0; at < good.length; at++) {
            Files.write(file, Arrays.copyOf(good, at));
            assertThat(text(Disk.open(home, 1).load())).as("cut at " + at).isEqualTo(before);
            byte[] changed = good.clone();
            changed[at] ^= (byte) (1 << at % Byte.SIZE);
            Files.write(file, changed);
            assertThat(text(Disk.open(home, 1).load())).as("changed at " + at).isEqualTo(before);
        }
        Files.write(file, good);
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
