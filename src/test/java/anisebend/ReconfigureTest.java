package anisebend;

import static anisebend.World.MS;
import static anisebend.World.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Other settings while requests are open. */
class ReconfigureTest {
    private final World world = new World(false).list(ListKind.FULL, "a1", "a2", "b3");

    private static Balancer.Settings with(int maxAttempts, Balancer.RequestClass... further) {
        Balancer.Settings s = World.settings(false);
        List<Balancer.RequestClass> classes = new ArrayList<>(s.classes());
        classes.addAll(List.of(further));
        return new Balancer.Settings(
                s.balancers(),
                s.zone(),
                s.originKind(),
                classes,
                s.tenants(),
                s.overShareFactor(),
                maxAttempts,
                s.mayCancel(),
                s.mayProbe(),
                s.retryAfter(),
                s.maxRetryAfter(),
                s.listMustBeAsked(),
                s.listAskWithin(),
                s.coldShare(),
                s.coldTime(),
                s.freeResends(),
                s.resendShare(),
                s.resendSpan());
    }

    private static Balancer.RequestClass unsafe(long deadline) {
        return new Balancer.RequestClass(Balancer.Effect.UNSAFE, Balancer.Group.ALL, 0, 500 * MS, deadline, 1);
    }

    @Test
    void openRequestsKeepTheirAttemptsAndNewOnesGetFewer() {
        world.ask("old", READ, "k");
        world.balancer.reconfigure(world.now, with(1));
        world.ask("new", READ, "j");
        world.answer("new", Code.ERROR).pass(1000 * MS);
        assertEquals(1, world.sends("new"));
        assertTrue(world.recorder.has("refuse new") || world.recorder.has("fail new"));
        world.answer("old", Code.ERROR).pass(1000 * MS);
        assertEquals(2, world.sends("old"));
    }

    @Test
    void aFurtherClassGoesByItsOwnRulesAtServersThatWereKnownBefore() {
        int further = World.settings(false).classes().size();
        world.ask("before", READ, "k").answer("before", Code.OK).pass(100 * MS);
        world.balancer.reconfigure(world.now, with(4, unsafe(2000 * MS)));
        world.ask("once", further, "k").answer("once", Code.ERROR).pass(1000 * MS);
        assertEquals(1, world.sends("once"), "it may have run");
        assertTrue(world.recorder.has("fail once"));
        world.ask("read", READ, "k").answer("read", Code.ERROR).pass(1000 * MS);
        assertEquals(2, world.sends("read"));
    }

    /** A tenant's quota is a whole that all balancers share: with ten times as many each lets a tenth of it pass. */
    @Test
    void aQuotaIsSharedByAsManyAsTheSettingsSayNow() {
        assertEquals(0, refusedOverShare(2));
        assertTrue(refusedOverShare(200) > 0, "all pass as if two shared it");
    }

    private static int refusedOverShare(int balancers) {
        World one = new World(false).list(ListKind.FULL, "a1");
        Balancer.Settings s = World.settings(false);
        one.balancer.reconfigure(
                one.now,
                new Balancer.Settings(
                        balancers,
                        s.zone(),
                        s.originKind(),
                        s.classes(),
                        s.tenants(),
                        s.overShareFactor(),
                        s.maxAttempts(),
                        s.mayCancel(),
                        s.mayProbe(),
                        s.retryAfter(),
                        s.maxRetryAfter(),
                        s.listMustBeAsked(),
                        s.listAskWithin(),
                        s.coldShare(),
                        s.coldTime(),
                        s.freeResends(),
                        s.resendShare(),
                        s.resendSpan()));
        for (int i = 0; i < 60; i++) {
            one.ask("r" + i, READ, "k", 1).answer("r" + i, Code.OK, 450 * MS).pass(200 * MS);
        }
        return (int) one.recorder.count("refuse");
    }

    @Test
    void changesNothingWhereASettingCannotBeWorkedWith() {
        for (Balancer.Settings bad : List.of(with(0), with(4, unsafe(0)))) {
            assertThrows(IllegalArgumentException.class, () -> world.balancer.reconfigure(world.now, bad));
        }
        world.ask("read", READ, "k").answer("read", Code.ERROR).pass(1000 * MS);
        assertEquals(2, world.sends("read"));
    }
}
