package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lab.VirtualFleet;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Defects that are put into the module on purpose, each of which one of its tests has to find. */
class FleetDefectsTest {
    private static final Path SOURCES = Path.of("src/main/java/gorsemast/fleet");
    private static final String FLEET = "gorsemast.fleet.FleetTest";
    private static final String CLAIM = "gorsemast.fleet.ClaimTest";

    /** A line of the module, what stands there instead, and the test that finds it. */
    enum Defect {
        NO_REFUTATION(
                "Fleet.java",
                "boolean worse = claim.state() != State.ALIVE",
                "boolean worse = now < 0",
                FLEET,
                "stoppedForHalfAMinuteAndBackFullOfOldBeliefs"),
        GENERATION_NOT_RAISED(
                "Fleet.java",
                "rejuvenate(claim.id().generation() + 1);",
                "",
                FLEET,
                "aRestartEndsItsOldSelfAtOnceEvenWithItsClockSetBack"),
        DEAD_FORGOTTEN_AT_ONCE(
                "Roster.java",
                "members.size() - live > remembered",
                "members.size() > live",
                FLEET,
                "allSeedsDeadAndTheRestStillHeals"),
        FACTS_BY_ARRIVAL(
                "Claim.java",
                "Claim told = author(other) >= 0 ? this : other;",
                "Claim told = other;",
                CLAIM,
                "anyOrderAndAnyRepetitionComesToTheSame"),
        STATE_BY_ARRIVAL(
                "Claim.java",
                "Claim word = standing(other) >= 0 ? this : other;",
                "Claim word = other;",
                CLAIM,
                "joinsAreCommutativeAssociativeAndIdempotent"),
        NOBODY_ELSE_IS_ASKED(
                "Fleet.java",
                "draw(settings.indirect(), probe.target)",
                "draw(0, probe.target)",
                FLEET,
                "aOneWayCutBetweenTwoHurtsNobody"),
        THE_DEAD_ARE_NOT_TRIED("Fleet.java", "            tryDead();\n", "", FLEET, "allSeedsDeadAndTheRestStillHeals"),
        NO_DIFFERENCES_SEEN(
                "Fleet.java",
                "                compare(sender, message.view());\n",
                "",
                FLEET,
                "mostAreGoneForAMinuteAndBackAtOnce"),
        A_LEAVE_IS_NOT_TOLD(
                "Fleet.java", "draw(settings.fanout() * 2, self)", "draw(0, self)", FLEET, "whoLeavesIsGoneAtOnce"),
        AN_ADDRESS_HAS_TWO(
                "Fleet.java",
                "if (old.address().equals(claim.address())) {",
                "if (now < 0) {",
                FLEET,
                "aLaterGenerationAtAnAddressEndsTheEarlierByHearsay");

        private final String file;
        private final String there;
        private final String instead;
        private final String test;
        private final String method;

        Defect(String file, String there, String instead, String test, String method) {
            this.file = file;
            this.there = there;
            this.instead = instead;
            this.test = test;
            this.method = method;
        }
    }

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(Defect.class)
    void eachIsFound(Defect defect) throws Exception {
        assertTrue(fails(compiled(defect), defect.test, defect.method), defect + " is found by nothing");
    }

    @Test
    void withNoneOfThemTheTestsHold() throws Exception {
        for (Defect defect : Defect.values()) {
            assertFalse(fails(folder, defect.test, defect.method), defect.method);
        }
    }

    /** The module with this defect. */
    private Path compiled(Defect defect) throws IOException {
        Path source = Files.createTempDirectory(folder, "source");
        Path classes = Files.createTempDirectory(folder, "classes");
        List<String> files = new ArrayList<>(List.of(
                "-nowarn", "-proc:none", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        try (Stream<Path> all = Files.list(SOURCES)) {
            for (Path file : all.toList()) {
                String text = Files.readString(file);
                String name = file.getFileName().toString();
                if (name.equals(defect.file)) {
                    assertEquals(
                            text.indexOf(defect.there), text.lastIndexOf(defect.there), "not there once: " + defect);
                    assertTrue(text.contains(defect.there), "not there: " + defect);
                    text = text.replace(defect.there, defect.instead);
                }
                files.add(Files.writeString(source.resolve(name), text).toString());
            }
        }
        assertEquals(0, ToolProvider.getSystemJavaCompiler().run(null, null, System.err, files.toArray(new String[0])));
        return classes;
    }

    /** Whether the test fails on the module in that folder, or on the present one where there is none. */
    private static boolean fails(Path classes, String test, String method) throws Exception {
        try (Own loader = new Own(classes)) {
            var type = loader.loadClass(test);
            var constructor = type.getDeclaredConstructor();
            constructor.setAccessible(true);
            Object instance = constructor.newInstance();
            var run = type.getDeclaredMethod(method);
            run.setAccessible(true);
            run.invoke(instance);
            return false;
        } catch (InvocationTargetException e) {
            return true;
        }
    }

    /** Has the module, its tests and the laboratory of its own, so that they meet the defect; all else is shared. */
    private static final class Own extends URLClassLoader {
        private final Path classes;

        Own(Path classes) {
            super(new URL[0], VirtualFleet.class.getClassLoader());
            this.classes = classes;
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            Class<?> loaded = findLoadedClass(name);
            if (loaded != null) {
                return loaded;
            }
            if (!name.startsWith("gorsemast.fleet.") && !name.startsWith("gorsemast.lab.")) {
                return super.loadClass(name, resolve);
            }
            String file = name.replace('.', '/') + ".class";
            try {
                Path changed = classes.resolve(file);
                byte[] bytes;
                if (Files.exists(changed)) {
                    bytes = Files.readAllBytes(changed);
                } else {
                    try (InputStream in = getParent().getResourceAsStream(file)) {
                        bytes = in.readAllBytes();
                    }
                }
                return defineClass(name, bytes, 0, bytes.length);
            } catch (IOException e) {
                throw new ClassNotFoundException(name, e);
            }
        }
    }
}
