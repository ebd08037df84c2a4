package gorsemast.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import gorsemast.observe.Counters.End;
import org.junit.jupiter.api.Test;

class CountersTest {
    @Test
    void writesEachClassAndKeepsTheCountsOfOneThatIsListedAgain() {
        Counters counters = new Counters();
        counters.list("read");
        counters.list("top up");
        counters.ended("read", End.SERVED);
        counters.ended("read", End.SERVED);
        counters.ended("top up", End.FAILED);
        counters.list("read");
        StringBuilder text = new StringBuilder();
        counters.write(text);
        assertEquals(
                """
            edge_proxy.requests.read.served:2|c
            edge_proxy.requests.read.refused:0|c
            edge_proxy.requests.read.failed:0|c
            edge_proxy.requests.top%20%up.served:0|c
            edge_proxy.requests.top%20%up.refused:0|c
            edge_proxy.requests.top%20%up.failed:1|c
            """,
                text.toString());
    }

    @Test
    void neverMergesTwoNames() {
        assertNotEquals(Counters.plain("a.b"), Counters.plain("a:b"));
        assertNotEquals(Counters.plain("a.b"), Counters.plain("a%2e%b"));
        assertEquals("topup_2-x", Counters.plain("topup_2-x"));
    }
}
