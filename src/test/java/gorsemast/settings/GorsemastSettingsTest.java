package gorsemast.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class GorsemastSettingsTest {
    private static List<String> faults(String text) {
        return assertThrows(GorsemastSettings.FaultyException.class, () -> GorsemastSettings.parse("f", text))
                .faults()
                .stream()
                .map(Fault::toString)
                .toList();
    }

    @Test
    void theShippedFileIsGood() throws Exception {
        GorsemastSettings settings = GorsemastSettings.load(Path.of("deploy/gorsemast.json5"));
        assertEquals("info", settings.log().level());
        assertNull(settings.peers(), "what is not asked for is off");
    }

    @Test
    void json5IsReadAsItIsWritten() throws Exception {
        GorsemastSettings settings = GorsemastSettings.parse(
                "f",
                """
            // a comment
            { log: {form: 'json', level: "warn",}, /* and one more */
              'peers': {listen: '127.0.0.1:0', seeds: ['127.0.0.1:1', '[::1]:2',], period_ms: +200, suspicion_least: .5e1}, }
            """);
        assertEquals(200_000, settings.peers().fleet().period());
        assertEquals(100_000, settings.peers().fleet().timeout());
        assertEquals(5, settings.peers().fleet().suspicionLeast());
        assertEquals(2, settings.peers().seeds().size());
    }

    @Test
    void allFaultsComeAtOnceWithTheirPlaces() {
        assertEquals(
                List.of(
                        "1:8: log: is a text; an object { … }",
                        "2:11: peers.listen: is \"localhost:7946\"; an address and port in numbers, like 127.0.0.1:7946",
                        "2:38: peers.seeds[0]: is a number; a text \"…\"",
                        "2:41: peers.seeds[1]: is \"x\"; an address and port in numbers, like 127.0.0.1:7946",
                        "3:14: peers.period_ms: is 5; between 10 and 60000",
                        "3:29: peers.timeout_ms: is 2000; less than period_ms, which is 1000",
                        "4:13: peers.perriod: is not a setting; one of advertise, cluster, fanout, forget_s, indirect, learn, listen, period_ms, "
                                + "remembered, secret, seeds, settle_ms, share, suspicion_least, suspicion_most, sync_periods, timeout_ms",
                        "5:8: peer: is not a setting; one of log, peers"),
                faults(
                        "{ log: 'loud', peers: {\n  listen: 'localhost:7946', seeds: [ 7, 'x'],\n  period_ms: 5, timeout_ms: 2000,\n"
                                + "   perriod: 1},\n peer: {} }"));
    }

    @Test
    void whatCanNotBeReadSaysWhere() {
        assertEquals(List.of("1:1: nothing is there; an object { … }"), faults(" "));
        assertEquals(1, faults("{ log: {").size());
        assertEquals(List.of("2:1: log: is there twice; leave one out"), faults("{ log: {},\nlog: {} }"));
        assertEquals(List.of("1:4: more follows behind the object"), faults("{} {}"));
        assertEquals(List.of("1:1: is an array; an object { … }"), faults("[]"));
        assertEquals(List.of("1:10: peers.listen: is missing; a text \"…\""), faults("{ peers: {} }"));
    }
}
