package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lab.VirtualFleet;
import gorsemast.lab.VirtualFleet.Fate;
import java.util.Arrays;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Three members, and every fate of the first {@value #DEPTH} datagrams after something has happened to them: each arrives,
 * is lost, comes twice or comes late, {@code 4^DEPTH} courses of each happening. In every one of them nobody live is ever
 * held dead and all agree in the end.
 */
class FleetWalkTest {
    private static final int DEPTH = 5;
    private static final long SECOND = 1_000_000;

    /** What happens, to a fleet of three that has settled. */
    @SuppressWarnings("ImmutableEnumChecker") // what each does is a lambda without state
    enum Happening {
        JOIN(fleet -> fleet.machine(3).start(0)),
        CRASH(fleet -> fleet.machine(1).kill(true)),
        RESTART(fleet -> {
            fleet.machine(1).kill(false);
            fleet.machine(1).start(0);
        }),
        SET_BACK(fleet -> {
            fleet.machine(1).kill(false);
            fleet.machine(1).clock(-1_000);
            fleet.machine(1).start(0);
        }),
        LEAVE(fleet -> fleet.machine(1).leave()),
        HEAL(VirtualFleet::heal),
        FACTS(fleet -> {
            fleet.machine(0).fleet().facts(fleet.now(), java.util.Map.of("k", "1"));
            fleet.machine(0).fleet().facts(fleet.now(), java.util.Map.of("k", "2"));
        });

        private final Consumer<VirtualFleet> does;

        Happening(Consumer<VirtualFleet> does) {
            this.does = does;
        }
    }

    @ParameterizedTest
    @EnumSource(Happening.class)
    void allCoursesEndWell(Happening happening) {
        int courses = (int) Math.pow(Fate.values().length, DEPTH);
        for (int course = 0; course < courses; course++) {
            Fate[] fates = new Fate[DEPTH];
            for (int i = 0, rest = course; i < DEPTH; i++, rest /= Fate.values().length) {
                fates[i] = Fate.values()[rest % Fate.values().length];
            }
            VirtualFleet fleet = new VirtualFleet(4, FleetSettings.of(SECOND), 7, message -> 0);
            for (int i = 0; i < 3; i++) {
                fleet.machine(i).start(0);
            }
            assertTrue(fleet.await(10 * SECOND, VirtualFleet::agree) >= 0);
            if (happening == Happening.HEAL) {
                fleet.split(n -> n == 2 ? 1 : 0);
                assertTrue(fleet.await(
                                60 * SECOND,
                                f -> f.machine(0).view().live() == 2
                                        && f.machine(2).view().live() == 1)
                        >= 0);
            }
            long from = fleet.messages();
            fleet.fates(number -> number - from < DEPTH ? fates[(int) (number - from)] : Fate.ARRIVES);
            happening.does.accept(fleet);
            for (int i = 0; i < 8 && happening != Happening.HEAL; i++) {
                fleet.run(SECOND);
                assertEquals(0, fleet.falselyDead(), () -> happening + " " + Arrays.toString(fates));
            }
            assertTrue(
                    fleet.await(90 * SECOND, VirtualFleet::agree) >= 0,
                    () -> happening + " " + Arrays.toString(fates) + String.join("\n", fleet.lines()));
            if (happening == Happening.FACTS) {
                assertTrue(
                        fleet.await(40 * SECOND, f -> f.machines().subList(0, 3).stream()
                                        .allMatch(
                                                m -> m.view().members().stream().anyMatch(v -> "2"
                                                        .equals(v.facts().get("k")))))
                                >= 0,
                        () -> Arrays.toString(fates));
            }
        }
    }
}
