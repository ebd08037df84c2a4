package anisebend;

import static anisebend.BalancerHarness.MS;
import static anisebend.BalancerHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Changes settings while requests are in flight. */
class ReconfigureTest {
    private final BalancerHarness harness = new BalancerHarness(false).list(ListKind.FULL, "a1", "a2", "b3");

    private static Balancer.Settings with(int maxAttempts, Balancer.RequestClass... further) {
        Balancer.Settings s = BalancerHarness.settings(false);
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
    void openRequestsKeepTheirAttemptLimit() {
        harness.ask("old", READ, "k");
        harness.balancer.reconfigure(harness.now, with(1));
        harness.ask("new", READ, "j");
        harness.answer("new", Code.ERROR).pass(1000 * MS);
        assertEquals(1, harness.sends("new"));
        assertTrue(harness.recorder.has("refuse new") || harness.recorder.has("fail new"));
        harness.answer("old", Code.ERROR).pass(1000 * MS);
        assertEquals(2, harness.sends("old"));
    }

    @Test
    void addedClassFollowsItsOwnRulesAtKnownServers() {
        int further = BalancerHarness.settings(false).classes().size();
        harness.ask("before", READ, "k").answer("before", Code.OK).pass(100 * MS);
        harness.balancer.reconfigure(harness.now, with(4, unsafe(2000 * MS)));
        harness.ask("once", further, "k").answer("once", Code.ERROR).pass(1000 * MS);
        assertEquals(1, harness.sends("once"), "it may have run");
        assertTrue(harness.recorder.has("fail once"));
        harness.ask("read", READ, "k").answer("read", Code.ERROR).pass(1000 * MS);
        assertEquals(2, harness.sends("read"));
    }

    /** All balancers share a tenant's quota: with a hundred times as many each admits a hundredth of it. */
    @Test
    void quotaIsSharedByTheConfiguredNumberOfBalancers() {
        assertEquals(0, refusedOverShare(2));
        assertTrue(refusedOverShare(200) > 0, "all admitted as if two balancers shared it");
    }

    private static int refusedOverShare(int balancers) {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        Balancer.Settings s = BalancerHarness.settings(false);
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
    void invalidSettingsChangeNothing() {
        for (Balancer.Settings bad : List.of(with(0), with(4, unsafe(0)))) {
            assertThrows(IllegalArgumentException.class, () -> harness.balancer.reconfigure(harness.now, bad));
        }
        harness.ask("read", READ, "k").answer("read", Code.ERROR).pass(1000 * MS);
        assertEquals(2, harness.sends("read"));
    }
}
