package gorsemast.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.upgrade.Generations.Standing;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Locks are between processes, so the others are real ones. */
class SuccessionTest {
    @TempDir
    Path folder;

    private final List<Process> others = new ArrayList<>();

    /** Says what it found, takes clients as soon as it is told to, and stays until it is killed. */
    public static final class Other {
        private Other() {}

        public static void main(String[] args) throws Exception {
            Succession succession = new Succession(Path.of(args[0]));
            System.out.println(succession.generations().processes());
            for (int c = System.in.read(); c >= 0; c = System.in.read()) {
                succession.tell(c == 's' ? Standing.SERVING : Standing.LEAVING);
                System.out.println();
            }
        }
    }

    /** Starts another process; returns how many it found to be there. */
    private int startOther() throws IOException {
        Process other = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Other.class.getName(),
                        folder.toString())
                .start();
        others.add(other);
        return Integer.parseInt(other.inputReader().readLine());
    }

    private void tell(int other, char what) throws IOException {
        others.get(other).getOutputStream().write(what);
        others.get(other).getOutputStream().flush();
        others.get(other).inputReader().readLine();
    }

    private void kill(int other) throws InterruptedException {
        others.get(other).destroyForcibly().waitFor();
    }

    @AfterEach
    void end() throws InterruptedException {
        for (int i = 0; i < others.size(); i++) {
            kill(i);
        }
    }

    private static boolean succeeded(Succession succession) {
        succession.look();
        return succession.generations().succeeded();
    }

    @Test
    void theFirstIsSucceededOnlyWhileALaterOneTakesClients() throws Exception {
        try (Succession first = new Succession(folder)) {
            assertEquals(1, first.generations().processes());
            assertEquals(2, startOther());
            assertFalse(succeeded(first), "it is not ready yet");
            assertEquals(2, first.generations().processes());
            tell(0, 's');
            assertTrue(succeeded(first));
            assertTrue(succeeded(first), "to look does not change it");
            tell(0, 'l');
            assertFalse(succeeded(first), "a restart has reached it too");
            assertEquals(3, startOther());
            tell(1, 's');
            assertTrue(succeeded(first), "a third has come");
            kill(1);
            assertFalse(succeeded(first));
            kill(0);
            first.look();
            assertEquals(1, first.generations().processes());
            try (Stream<Path> left = Files.list(folder)) {
                assertEquals(1, left.count(), "nothing is left of those that were killed");
            }
        }
    }

    @Test
    void theSecondIsTheOnlyOneWhenTheFirstIsKilled() throws Exception {
        assertEquals(1, startOther());
        tell(0, 's');
        try (Succession second = new Succession(folder)) {
            assertTrue(second.generations().hasPredecessor());
            assertFalse(succeeded(second), "it came before");
            kill(0);
            second.look();
            assertFalse(second.generations().hasPredecessor());
            assertEquals(2, startOther());
            tell(1, 's');
            assertTrue(succeeded(second));
        }
    }

    @Test
    void filesOfOthersAreLeftAlone() throws Exception {
        Files.writeString(folder.resolve("process-x"), "s");
        Files.writeString(folder.resolve("process--3"), "s");
        Files.createDirectory(folder.resolve("process-9"));
        Files.writeString(folder.resolve("process-7"), "s");
        try (Succession alone = new Succession(folder)) {
            assertEquals(1, alone.generations().processes(), "a file without its lock is nobody's");
            assertTrue(Files.exists(folder.resolve("process-x")));
            assertTrue(Files.exists(folder.resolve("process--3")));
            assertTrue(Files.exists(folder.resolve("process-10")));
        }
    }

    @Test
    void saysWhereThereIsNoFolderToShare() throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        assertThrows(IOException.class, () -> new Succession(file));
    }
}
