package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Who is in touch, and whether the core is settled, against the words of the rules. */
class ContactTest {
    private static final long CONTACT = World.CONTACT_MICROS;

    private final World world =
            new World(new Day(3, 2, 1, 1_000_000, List.of(), Trouble.Closing.NONE), Plant.NONE, null);
    private final MachineTroubles machines = new MachineTroubles(world);
    private final CutTroubles cuts = new CutTroubles(world, machines);
    private final List<Machine> cores = new ArrayList<>();
    private Machine edge;

    @BeforeEach
    void start() {
        for (int i = 0; i < 3; i++) {
            cores.add(world.add("a", true));
        }
        edge = world.add("a", false);
        world.listNow();
        cores.forEach(one -> world.start(one, true));
        world.start(edge, true);
        pass(5_000_000);
    }

    private void pass(long micros) {
        world.time.run(world.time.now() + micros);
    }

    private boolean settled() {
        return world.contact.settledFor() >= 0;
    }

    @Test
    void aCoreWithOneMachineDownIsSettledAgainAfterContact() {
        assertThat(settled()).isTrue();
        machines.bounce(cores.get(0), true, 20_000_000);
        assertThat(settled()).isFalse();
        pass(CONTACT - 100_000);
        assertThat(settled()).isFalse();
        pass(200_000);
        assertThat(settled()).isTrue();
        assertThat(world.contact.touch(edge)).isTrue();
        pass(20_000_000 - CONTACT);
        assertThat(settled()).isFalse(); // it has started
    }

    @Test
    void withTwoDownItIsNot() {
        machines.bounce(cores.get(0), true, 20_000_000);
        machines.bounce(cores.get(1), true, 20_000_000);
        pass(10_000_000);
        assertThat(settled()).isFalse();
        assertThat(world.contact.majorityFor()).isZero();
    }

    @Test
    void whoIsCutOffIsNotInTouchAndTheOthersAre() {
        cuts.off(cores.get(0), 20_000_000, Ways.Cut.SILENT, true, true);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(world.contact.touch(cores.get(0))).isFalse();
        assertThat(world.contact.touch(cores.get(1))).isTrue();
        assertThat(world.contact.touch(edge)).isTrue(); // the machine that it can't tell of reaches too few
        assertThat(world.contact.lost()).isEqualTo(1);
        pass(20_000_000);
        assertThat(world.contact.touch(cores.get(0))).isTrue();
    }

    @Test
    void anEdgeOnTheWrongSideIsNotInTouch() {
        cuts.sides(List.of(cores.get(0)), 20_000_000, Ways.Cut.SILENT, false);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(world.contact.touch(edge)).isFalse();
    }

    @Test
    void anEdgeCutOffFromOneGoodMachineIsNotInTouch() {
        world.ways.cut(edge, cores.get(2), Ways.Cut.SILENT);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(world.contact.touch(edge)).isFalse();
        world.ways.cut(edge, cores.get(2), null);
        assertThat(world.contact.touch(edge)).isFalse();
        pass(CONTACT);
        assertThat(world.contact.touch(edge)).isTrue();
    }

    @Test
    void aSlowLinkUnsettlesTheCoreForAsLongAsItIsSlow() {
        cuts.hold(cores.get(0), List.of(cores.get(1)), 10_000_000);
        pass(9_000_000);
        assertThat(settled()).isFalse();
        pass(CONTACT + 2_000_000);
        assertThat(settled()).isTrue();
    }

    @Test
    void aDiskInTroubleLeavesTheCoreSettledAndItsMachineOutOfTouch() {
        machines.stall(cores.get(0), 10_000_000);
        pass(5_000_000);
        assertThat(settled()).isTrue();
        assertThat(world.contact.touch(cores.get(0))).isFalse();
        assertThat(world.contact.touch(cores.get(1))).isTrue();
        assertThat(world.mayLose(1)).isFalse();
    }

    @Test
    void aStoppedMachineStaysLostForTheTimeToSync() {
        machines.bounce(cores.get(0), true, 1_000_000);
        pass(1_000_000 + World.SYNC_MICROS - 100_000);
        assertThat(world.mayLose(1)).isFalse();
        pass(200_000);
        assertThat(world.mayLose(1)).isTrue();
        assertThat(world.mayLose(2)).isFalse();
    }
}
