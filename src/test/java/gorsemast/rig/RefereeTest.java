package gorsemast.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsemast.rig.Clients.Asked;
import gorsemast.rig.Clients.End;
import gorsemast.rig.Referee.Blow;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RefereeTest {
    private static Referee.Judgement judge(Asked asked, int ran, Blow... blows) {
        return Referee.judge(List.of(asked), Map.of(asked.id(), ran), List.of(blows), 10);
    }

    private static Asked asked(boolean write, End end) {
        return new Asked("a", write, 3, 100, 200, end);
    }

    @Test
    void whatWasTakenAndNotAnsweredIsLostUnlessItsProcessWasStruck() {
        assertEquals(1, judge(asked(false, End.CUT), 0).lost());
        assertEquals(1, judge(asked(false, End.SILENT), 0, new Blow(2, 150)).lost(), "another process was struck");
        assertEquals(1, judge(asked(false, End.CUT), 0, new Blow(3, 211)).lost(), "it was struck later");
        Referee.Judgement struck = judge(asked(true, End.CUT), 1, new Blow(3, 150));
        assertEquals(0, struck.lost());
        assertEquals(1, struck.orphaned());
        assertEquals(0, judge(asked(true, End.UNREACHED), 0).lost());
    }

    @Test
    void whatRanTwiceOrWasRefusedAfterItRanIsFound() {
        assertEquals(1, judge(asked(true, End.SERVED), 2).twice());
        assertEquals(1, judge(asked(true, End.REFUSED), 1).twice());
        assertEquals(0, judge(asked(true, End.FAILED), 1).twice());
        assertEquals(1, judge(asked(true, End.SERVED), 0).lost(), "served, and never ran");
    }
}
