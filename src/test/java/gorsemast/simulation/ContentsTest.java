package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatNoException;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on contents by themselves: what is told to the referee, and what it makes of it. */
class ContentsTest {
    private final World world =
            new World(new Day(3, 4, 1, 1_000_000, List.of(), Trouble.Closing.NONE), Plant.NONE, null);
    private final Contents contents = world.contents;

    private void broken(String text, Runnable what) {
        assertThatExceptionOfType(Broken.class).isThrownBy(what::run).withMessageContaining(text);
    }

    private void takes(long number, String content) {
        contents.sent(number, content);
        contents.answered(number, content, 200, world.time.now());
        contents.acknowledged(number, content);
    }

    @Test
    void twoContentsOfOneNumberAreNotBothAcknowledged() {
        takes(5, "a");
        contents.sent(5, "b");
        broken("two contents are acknowledged", () -> contents.answered(5, "b", 200, world.time.now()));
    }

    @Test
    void theSecondOneIsRefused() {
        takes(5, "a");
        contents.sent(5, "b");
        contents.answered(5, "b", 409, world.time.now());
        contents.refused(5, "b");
        contents.sent(6, "c");
        broken("after it was refused", () -> contents.answered(5, "b", 200, world.time.now()));
    }

    @Test
    void anOvertakenNumberIsAcknowledgedWhateverItHolds() {
        takes(5, "a");
        takes(7, "c");
        contents.sent(5, "b");
        assertThatNoException().isThrownBy(() -> contents.answered(5, "b", 200, world.time.now()));
    }

    @Test
    void whatWasTakenIsNeverRefused() {
        takes(5, "a");
        takes(7, "c");
        contents.sent(5, "b");
        world.time.run(world.time.now() + 1);
        broken("sent again unchanged", () -> contents.answered(5, "a", 409, world.time.now()));
    }

    @Test
    void norIsWhatWasTakenAndNobodyHeardOfIt() {
        contents.sent(5, "a");
        contents.answered(5, "a", 200, world.time.now());
        contents.sent(5, "b");
        world.time.run(world.time.now() + 1);
        broken("sent again unchanged", () -> contents.answered(5, "a", 409, world.time.now()));
    }

    @Test
    void aProperOrderThatNobodyContestsIsNotRefused() {
        contents.sent(5, "a");
        broken("a valid order", () -> contents.answered(5, "a", 409, world.time.now()));
    }

    @Test
    void whatIsReadIsWhatWasAcknowledged() {
        takes(5, "a");
        contents.sent(5, "b");
        contents.answered(5, "b", 409, world.time.now());
        assertThatNoException().isThrownBy(() -> contents.read(5, "a"));
        broken("another content", () -> contents.read(5, "b"));
        contents.refused(5, "b");
        broken("was refused", () -> contents.read(5, "b"));
        broken("was not sent", () -> contents.read(6, "c"));
    }

    @Test
    void anEdgeGoesByTheAcknowledgedContent() {
        Machine machine = world.add("a", false);
        Edge edge = new Edge(world, machine);
        takes(5, "a");
        contents.sent(5, "b");
        contents.handles(edge, 5, "a", world.time.now());
        broken("goes from the acknowledged content", () -> contents.handles(edge, 5, "b", world.time.now()));
        Edge other = new Edge(world, machine);
        contents.handles(other, 5, "b", world.time.now());
        contents.handles(other, 5, "a", world.time.now());
        assertThat(other.seenContent).isEqualTo("a");
        broken("goes back", () -> contents.handles(other, 4, "x", world.time.now()));
        broken("is refused, and an edge has gone by it", () -> contents.refused(5, "b"));
    }

    @Test
    void anEdgeInTouchGoesByItInTime() {
        Machine machine = world.add("a", false);
        for (int i = 0; i < 3; i++) {
            world.start(world.add("a", true), true);
        }
        world.listNow();
        Edge edge = new Edge(world, machine);
        world.time.run(world.time.now() + 10_000_000);
        assertThat(world.contact.touch(machine)).isTrue();
        contents.sent(5, "b");
        takes(5, "a");
        contents.handles(edge, 5, "b", world.time.now() + 1_900_000);
        broken("another content of number 5", () -> contents.handles(edge, 5, "b", world.time.now() + 2_100_000));
        takes(6, "c");
        broken("goes by version 5", () -> contents.handles(edge, 5, "a", world.time.now() + 2_100_000));
        assertThat(contents.newest()).isEqualTo(6);
    }
}
