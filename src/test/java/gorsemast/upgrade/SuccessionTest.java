package gorsemast.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Locks are between processes, so the other one is a real one. */
class SuccessionTest {
    @TempDir
    Path folder;
    private Process other;

    /** Looks, says what it found, and stays until it is killed. */
    public static final class Other {
        private Other() {
        }

        public static void main(String[] args) throws Exception {
            Succession succession = new Succession(Path.of(args[0]));
            System.out.println(succession.hasPredecessor());
            System.in.read();
        }
    }

    /** Starts the other process; returns whether it found one before it. */
    private boolean startOther() throws IOException {
        other = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
            System.getProperty("java.class.path"), Other.class.getName(), folder.toString()).start();
        BufferedReader out = other.inputReader();
        return Boolean.parseBoolean(out.readLine());
    }

    @AfterEach
    void end() throws InterruptedException {
        if (other != null) {
            other.destroyForcibly().waitFor();
        }
    }

    @Test
    void theFirstSeesItsSuccessorForAsLongAsThatLives() throws Exception {
        try (Succession first = new Succession(folder)) {
            assertFalse(first.hasPredecessor());
            assertFalse(first.hasSuccessor());
            assertTrue(startOther());
            assertTrue(first.hasSuccessor());
            assertTrue(first.hasSuccessor(), "trying the lock does not take it");
            other.destroyForcibly().waitFor();
            assertFalse(first.hasSuccessor());
        }
    }

    @Test
    void theSecondMovesUpWhenTheFirstIsKilled() throws Exception {
        assertFalse(startOther());
        try (Succession second = new Succession(folder)) {
            assertTrue(second.hasPredecessor());
            assertFalse(second.hasSuccessor());
            other.destroyForcibly().waitFor();
            second.look();
            assertFalse(second.hasPredecessor());
            assertFalse(second.hasSuccessor(), "its own lock has been let go");
            assertEquals(true, startOther());
            assertTrue(second.hasSuccessor());
        }
    }
}
