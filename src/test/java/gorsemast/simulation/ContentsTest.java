package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatNoException;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker's rules on configuration contents in isolation. */
class ContentsTest {
    private final Simulation simulation =
            new Simulation(new Scenario(3, 4, 1, 1_000_000, List.of(), Fault.Closing.NONE), InjectedDefect.NONE, null);
    private final ConfigurationChecker contents = simulation.configurationChecker;

    private void broken(String text, Runnable what) {
        assertThatExceptionOfType(Violation.class).isThrownBy(what::run).withMessageContaining(text);
    }

    private void takes(long number, String content) {
        contents.sent(number, content);
        contents.answered(number, content, 200, simulation.time.now());
        contents.acknowledged(number, content);
    }

    @Test
    void twoContentsOfOneNumberAreNotBothAcknowledged() {
        takes(5, "a");
        contents.sent(5, "b");
        broken("two contents are acknowledged", () -> contents.answered(5, "b", 200, simulation.time.now()));
    }

    @Test
    void theSecondOneIsRefused() {
        takes(5, "a");
        contents.sent(5, "b");
        contents.answered(5, "b", 409, simulation.time.now());
        contents.refused(5, "b");
        contents.sent(6, "c");
        broken("after it was refused", () -> contents.answered(5, "b", 200, simulation.time.now()));
    }

    @Test
    void anOvertakenNumberIsAcknowledgedWhateverItHolds() {
        takes(5, "a");
        takes(7, "c");
        contents.sent(5, "b");
        assertThatNoException().isThrownBy(() -> contents.answered(5, "b", 200, simulation.time.now()));
    }

    @Test
    void whatWasTakenIsNeverRefused() {
        takes(5, "a");
        takes(7, "c");
        contents.sent(5, "b");
        simulation.time.run(simulation.time.now() + 1);
        broken("is resent unchanged", () -> contents.answered(5, "a", 409, simulation.time.now()));
    }

    @Test
    void norIsWhatWasTakenAndNobodyHeardOfIt() {
        contents.sent(5, "a");
        contents.answered(5, "a", 200, simulation.time.now());
        contents.sent(5, "b");
        simulation.time.run(simulation.time.now() + 1);
        broken("is resent unchanged", () -> contents.answered(5, "a", 409, simulation.time.now()));
    }

    @Test
    void aProperOrderThatNobodyContestsIsNotRefused() {
        contents.sent(5, "a");
        broken("a valid update", () -> contents.answered(5, "a", 409, simulation.time.now()));
    }

    @Test
    void whatIsReadIsWhatWasAcknowledged() {
        takes(5, "a");
        contents.sent(5, "b");
        contents.answered(5, "b", 409, simulation.time.now());
        assertThatNoException().isThrownBy(() -> contents.read(5, "a"));
        broken("another content", () -> contents.read(5, "b"));
        contents.refused(5, "b");
        broken("was refused", () -> contents.read(5, "b"));
        broken("was not sent", () -> contents.read(6, "c"));
    }

    @Test
    void anEdgeGoesByTheAcknowledgedContent() {
        Machine machine = simulation.add("a", false);
        Edge edge = new Edge(simulation, machine);
        takes(5, "a");
        contents.sent(5, "b");
        contents.handles(edge, 5, "a", simulation.time.now());
        broken("switches from the acknowledged content", () -> contents.handles(edge, 5, "b", simulation.time.now()));
        Edge other = new Edge(simulation, machine);
        contents.handles(other, 5, "b", simulation.time.now());
        contents.handles(other, 5, "a", simulation.time.now());
        assertThat(other.seenContent).isEqualTo("a");
        broken("reverts from version", () -> contents.handles(other, 4, "x", simulation.time.now()));
        broken("is refused after an edge has applied it", () -> contents.refused(5, "b"));
    }

    @Test
    void anEdgeInTouchGoesByItInTime() {
        Machine machine = simulation.add("a", false);
        for (int i = 0; i < 3; i++) {
            simulation.start(simulation.add("a", true), true);
        }
        simulation.updateSeedsNow();
        Edge edge = new Edge(simulation, machine);
        simulation.time.run(simulation.time.now() + 10_000_000);
        assertThat(simulation.connectivity.isConnected(machine)).isTrue();
        contents.sent(5, "b");
        takes(5, "a");
        contents.handles(edge, 5, "b", simulation.time.now() + 1_900_000);
        broken("another content of number 5", () -> contents.handles(edge, 5, "b", simulation.time.now() + 2_100_000));
        takes(6, "c");
        broken("applies version 5", () -> contents.handles(edge, 5, "a", simulation.time.now() + 2_100_000));
        assertThat(contents.newest()).isEqualTo(6);
    }
}
