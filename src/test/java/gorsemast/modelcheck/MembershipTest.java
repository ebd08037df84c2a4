package gorsemast.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.node.FaultTolerance;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What was acknowledged outlives each loss that is to be borne, also where the membership has just changed. */
class MembershipTest {
    private static final long SECOND = 1_000_000;
    private static final long SYNC_TIME = 4 * SECOND;
    private static final long READ_WITHIN = 4 * SECOND;

    /** A world that has run, with an acknowledged version. */
    private static World settled(int members, int spares, int losses, long seed) {
        World world =
                new World(members, spares, FaultTolerance.ofMachines(losses), Map.of(), seed, Plant.NONE).telling();
        world.calm(SECOND);
        for (int i = members + 1; i <= members + spares; i++) {
            world.start("m" + i);
        }
        world.calm(6 * SECOND);
        put(world);
        return world;
    }

    private static void put(World world) {
        long before = world.newest();
        world.put(world.leader(), false);
        world.calm(SECOND / 5);
        assertThat(world.newest()).as(String.join("\n", world.story())).isGreaterThan(before);
    }

    private static void reads(World world) {
        assertThat(world.readAnswers(READ_WITHIN))
                .as(String.join("\n", world.story()))
                .isNotNegative();
    }

    private static List<String> others(World world, String... but) {
        List<String> others = new ArrayList<>(world.machines());
        others.removeAll(List.of(but));
        return others;
    }

    @Test
    void fiveMembersGrowWhereTwoLossesAreToBeBorne() {
        for (int a = 1; a <= 5; a++) {
            for (int b = a + 1; b <= 5; b++) {
                World world = settled(3, 2, 2, 31 + a * 7 + b);
                world.lose("m" + a);
                world.lose("m" + b);
                reads(world);
            }
        }
    }

    @Test
    void aMachineThatIsReplacedAtAnotherAddressMayBeFollowedByASecondLossAfterSyncTime() {
        for (String removed : List.of("m1", "m2", "m3")) {
            for (String lost : List.of("m1", "m2", "m3", "m4")) {
                for (int seed = 0; seed < 4; seed++) {
                    if (lost.equals(removed)) {
                        continue;
                    }
                    World world = new World(3, 1, seed, Plant.NONE).telling();
                    world.calm(6 * SECOND);
                    world.remove(removed);
                    world.calm(SECOND);
                    world.start("m4");
                    world.calm(SECOND * seed);
                    world.quietKill();
                    world.calm(SYNC_TIME - SECOND * seed);
                    put(world);
                    world.lose(lost);
                    reads(world);
                }
            }
        }
    }

    @Test
    void aMemberThatLeavesForASpareMayBeFollowedByALossAtOnce() {
        for (String leaves : List.of("m1", "m2", "m3")) {
            for (String lost : others(settled(3, 1, 1, 5), leaves)) {
                World world = settled(3, 1, 1, 5);
                world.leave(leaves, 6 * SECOND);
                world.remove(leaves);
                world.lose(lost);
                reads(world);
            }
        }
    }

    @Test
    void theLeavingPrimaryAndTheOnlyOtherCopyLostJustBefore() {
        for (int seed = 0; seed < 8; seed++) {
            World world = settled(3, 1, 1, seed);
            String primary = world.leader();
            String backup = world.replica(primary).view().backups().get(0).split("#")[0];
            world.lose(backup);
            world.leave(primary, 6 * SECOND);
            world.remove(primary);
            reads(world);
        }
    }

    @Test
    void drawnCoursesOfFourAndFiveMembersWithASpareKeepWhatWasAcknowledged() {
        for (int members = 4; members <= 5; members++) {
            StoreCheck.Result result = StoreCheck.drawn(members, 1, 17, 200, 1_200, Plant.NONE);
            assertThat(result.broken())
                    .as(members + "\n" + String.join("\n", result.story()))
                    .isNull();
        }
    }
}
