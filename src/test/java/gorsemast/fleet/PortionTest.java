package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lab.VirtualFleet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** However the fleet falls apart, the parts of all that run never sum up to more than the whole. */
class PortionTest {
    private static final long SECOND = 1_000_000;
    private static final FleetSettings SETTINGS = FleetSettings.of(SECOND);

    private final List<Portion> portions = new ArrayList<>();

    private VirtualFleet fleet(int many, long seed) {
        VirtualFleet fleet = new VirtualFleet(many, SETTINGS, seed, message -> 0).startAll();
        for (int i = 0; i < many; i++) {
            portions.add(new Portion(SETTINGS, many));
        }
        watch(fleet, 20);
        return fleet;
    }

    /** The largest sum that was seen. */
    private double watch(VirtualFleet fleet, int seconds) {
        double most = 0;
        for (int i = 0; i < 10 * seconds; i++) {
            fleet.run(SECOND / 10);
            double sum = 0;
            for (int m = 0; m < portions.size(); m++) {
                if (fleet.machine(m).running()) {
                    sum += 1.0
                            / portions.get(m).of(fleet.now(), fleet.machine(m).view());
                }
            }
            most = Math.max(most, sum);
        }
        assertTrue(most <= 1 + 1e-9, "together they take " + most);
        return most;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5})
    void noSideOfAPartitionTakesMoreThanItsPart(int groups) {
        VirtualFleet fleet = fleet(10, groups);
        fleet.split(n -> n % groups);
        watch(fleet, 120);
        fleet.heal();
        watch(fleet, 60);
    }

    @Test
    void aProvenCrashOfMostLoosensSlowlyAndTheirReturnTightensAtOnce() {
        VirtualFleet fleet = fleet(10, 9);
        for (int i = 3; i < 10; i++) {
            fleet.machine(i).kill(false);
        }
        watch(fleet, 8);
        assertEquals(10, portions.get(0).of(fleet.now(), fleet.machine(0).view()), "loosened before it was sure");
        watch(fleet, 60);
        assertEquals(3, portions.get(0).of(fleet.now(), fleet.machine(0).view()));
        for (int i = 3; i < 10; i++) {
            portions.set(i, new Portion(SETTINGS, 10));
            fleet.machine(i).start(0, 1, 2);
        }
        // Who has just come divides by all; the others still by three until they hear of it, within some periods.
        fleet.run(5 * SECOND);
        assertEquals(10, portions.get(0).of(fleet.now(), fleet.machine(0).view()));
        watch(fleet, 30);
    }

    @Test
    void whoIsSilentWithoutProofKeepsItsPart() {
        VirtualFleet fleet = fleet(6, 10);
        fleet.machine(5).kill(true);
        watch(fleet, 120);
        assertEquals(6, portions.get(0).of(fleet.now(), fleet.machine(0).view()));
    }

    @Test
    void whomNobodyHasSeenCountsAsTheSettingsSay() {
        VirtualFleet fleet = new VirtualFleet(3, SETTINGS, 11, message -> 0).startAll();
        Portion portion = new Portion(SETTINGS, 100);
        for (int i = 0; i < 60; i++) {
            fleet.run(SECOND);
            assertEquals(100, portion.of(fleet.now(), fleet.machine(0).view()), "after " + i + " s");
        }
    }
}
