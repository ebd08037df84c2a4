package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.Effect;
import anisebend.Balancer.Group;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README. */
class ExampleTest {
    @Test
    void servesARequest() {
        Recorder actions = new Recorder();

        Balancer balancer = new BalancingPolicy(actions);
        long now = 0; // microseconds, from any origin
        var read = new Balancer.RequestClass(Effect.SAFE, Group.ALL, 0, 500_000, 2_000_000, 1);
        balancer.start(
                now,
                42,
                new Balancer.Settings(
                        3,
                        0,
                        -1,
                        List.of(read),
                        List.of(),
                        1,
                        4,
                        true,
                        false,
                        true,
                        2_000_000,
                        false,
                        0,
                        0.3,
                        8_000_000,
                        0,
                        0,
                        0));
        balancer.servers(now, ListKind.FULL, List.of(new Balancer.Server("10.0.0.1:80", 0, 0, 0, State.READY, 1, 0)));
        balancer.request(now, new Balancer.Request("r1", 0, 0, "key", now + 1_000_000, false));
        balancer.outcome(now + 20_000, new Balancer.Outcome("r1", 0, Code.OK, 20_000, true, CacheStatus.HIT, null));

        assertEquals(
                "send r1 10.0.0.1:80",
                actions.lines.stream()
                        .filter(l -> l.startsWith("send"))
                        .findFirst()
                        .orElseThrow());
        assertEquals(0, actions.count("refuse") + actions.count("fail"));
    }
}
