package gorsemast.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsemast.rig.Clients.Outcome;
import gorsemast.rig.Clients.RequestRecord;
import gorsemast.rig.RunChecker.ProcessFault;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RefereeTest {
    private static RunChecker.Verdict judge(RequestRecord asked, int ran, ProcessFault... blows) {
        return RunChecker.check(List.of(asked), Map.of(asked.id(), ran), List.of(blows), 10);
    }

    private static RequestRecord asked(boolean write, Outcome end) {
        return new RequestRecord("a", write, 3, 100, 200, end);
    }

    @Test
    void whatWasTakenAndNotAnsweredIsLostUnlessItsProcessWasStruck() {
        assertEquals(1, judge(asked(false, Outcome.CUT), 0).lost());
        assertEquals(
                1,
                judge(asked(false, Outcome.SILENT), 0, new ProcessFault(2, 150)).lost(),
                "another process was struck");
        assertEquals(
                1, judge(asked(false, Outcome.CUT), 0, new ProcessFault(3, 211)).lost(), "it was struck later");
        RunChecker.Verdict struck = judge(asked(true, Outcome.CUT), 1, new ProcessFault(3, 150));
        assertEquals(0, struck.lost());
        assertEquals(1, struck.orphaned());
        assertEquals(0, judge(asked(true, Outcome.UNREACHED), 0).lost());
    }

    @Test
    void whatRanTwiceOrWasRefusedAfterItRanIsFound() {
        assertEquals(1, judge(asked(true, Outcome.SERVED), 2).twice());
        assertEquals(1, judge(asked(true, Outcome.REFUSED), 1).twice());
        assertEquals(0, judge(asked(true, Outcome.FAILED), 1).twice());
        assertEquals(1, judge(asked(true, Outcome.SERVED), 0).lost(), "served, and never ran");
    }
}
