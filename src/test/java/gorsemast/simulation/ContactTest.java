package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which machines count as connected and whether the core is settled, by the operators' rules. */
class ContactTest {
    private static final long CONTACT = Simulation.CONNECTED_AFTER_MICROS;

    private final Simulation simulation =
            new Simulation(new Scenario(3, 2, 1, 1_000_000, List.of(), Fault.Closing.NONE), InjectedDefect.NONE, null);
    private final MachineFaults machines = new MachineFaults(simulation);
    private final LinkFaults cuts = new LinkFaults(simulation, machines);
    private final List<Machine> cores = new ArrayList<>();
    private Machine edge;

    @BeforeEach
    void start() {
        for (int i = 0; i < 3; i++) {
            cores.add(simulation.add("a", true));
        }
        edge = simulation.add("a", false);
        simulation.updateSeedsNow();
        cores.forEach(one -> simulation.start(one, true));
        simulation.start(edge, true);
        pass(5_000_000);
    }

    private void pass(long micros) {
        simulation.time.run(simulation.time.now() + micros);
    }

    private boolean settled() {
        return simulation.connectivity.settledFor() >= 0;
    }

    @Test
    void aCoreWithOneMachineDownIsSettledAgainAfterContact() {
        assertThat(settled()).isTrue();
        machines.restart(cores.get(0), true, 20_000_000);
        assertThat(settled()).isFalse();
        pass(CONTACT - 100_000);
        assertThat(settled()).isFalse();
        pass(200_000);
        assertThat(settled()).isTrue();
        assertThat(simulation.connectivity.isConnected(edge)).isTrue();
        pass(20_000_000 - CONTACT);
        assertThat(settled()).isFalse(); // it has started
    }

    @Test
    void withTwoDownItIsNot() {
        machines.restart(cores.get(0), true, 20_000_000);
        machines.restart(cores.get(1), true, 20_000_000);
        pass(10_000_000);
        assertThat(settled()).isFalse();
        assertThat(simulation.connectivity.majorityFor()).isZero();
    }

    @Test
    void whoIsCutOffIsNotInTouchAndTheOthersAre() {
        cuts.isolate(cores.get(0), 20_000_000, NetworkLinks.Cut.SILENT, true, true);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(simulation.connectivity.isConnected(cores.get(0))).isFalse();
        assertThat(simulation.connectivity.isConnected(cores.get(1))).isTrue();
        assertThat(simulation.connectivity.isConnected(edge))
                .isTrue(); // the unreachable machine does not reach a majority
        assertThat(simulation.connectivity.lostMachines()).isEqualTo(1);
        pass(20_000_000);
        assertThat(simulation.connectivity.isConnected(cores.get(0))).isTrue();
    }

    @Test
    void anEdgeOnTheWrongSideIsNotInTouch() {
        cuts.partition(List.of(cores.get(0)), 20_000_000, NetworkLinks.Cut.SILENT, false);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(simulation.connectivity.isConnected(edge)).isFalse();
    }

    @Test
    void anEdgeCutOffFromOneGoodMachineIsNotInTouch() {
        simulation.links.cut(edge, cores.get(2), NetworkLinks.Cut.SILENT);
        pass(CONTACT + 100_000);
        assertThat(settled()).isTrue();
        assertThat(simulation.connectivity.isConnected(edge)).isFalse();
        simulation.links.cut(edge, cores.get(2), null);
        assertThat(simulation.connectivity.isConnected(edge)).isFalse();
        pass(CONTACT);
        assertThat(simulation.connectivity.isConnected(edge)).isTrue();
    }

    @Test
    void aSlowLinkUnsettlesTheCoreForAsLongAsItIsSlow() {
        cuts.delayLinks(cores.get(0), List.of(cores.get(1)), 10_000_000);
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
        assertThat(simulation.connectivity.isConnected(cores.get(0))).isFalse();
        assertThat(simulation.connectivity.isConnected(cores.get(1))).isTrue();
        assertThat(simulation.mayLose(1)).isFalse();
    }

    @Test
    void aStoppedMachineStaysLostForTheTimeToSync() {
        machines.restart(cores.get(0), true, 1_000_000);
        pass(1_000_000 + Simulation.SYNC_MICROS - 100_000);
        assertThat(simulation.mayLose(1)).isFalse();
        pass(200_000);
        assertThat(simulation.mayLose(1)).isTrue();
        assertThat(simulation.mayLose(2)).isFalse();
    }
}
