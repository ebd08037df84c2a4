package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AdapterTest {
    private static final String BEGIN =
            """
        {"event_type":"sync","clock_ms":1000.5,"frame":1}
        {"event_type":"begin","proxy_id":3,"random_seed":9223372036854775807,"env":{"fleet_size":2,"locality":0,\
        "discovery":"ask","novelty":[1,{"a":null}],"allowed":{"send_cap":3,"may_cancel":true,"retry_after":true,\
        "max_retry_after_ms":2000.0},"rules":{"ask_within_ms":10000.0,"stop_sending_within_ms":250.0,\
        "cold_from":0.3,"cold_ms":8000.0},"load_report":{"columns":["utilization"],"how":"piggyback"},\
        "lanes":[{"repeat":"read_like","group":"all","aim_ms":500.0,"hard_limit_ms":2000.0,"credit":1.0}]}}
        {"event_type":"directory","page":0,"nodes_list":[{"node":"10.0.0.1:5000","zone":0,"machine":0,"cohort":0,\
        "state":1,"nominal":1,"up_since_ms":null}]}
        {"event_type":"view","proxy_id":3,"stamp":1,"scope":2,"page":0}
        {"event_type":"go"}
        """;
    private static final String ASK =
            """
        {"event_type":"sync","clock_ms":1005.5,"frame":2}
        {"event_type":"ask","proxy_id":3,"xid":"r1","kind":0,"org":0,"resource":"k:a","give_up_at_ms":3005.5,\
        "work_hint_ms":null,"resent":false,"is_write":false,"later":{"x":[1]}}
        {"event_type":"go"}
        """;
    private String errors;

    private int run(String input, StringBuilder output) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new Adapter(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run();
        output.append(out.toString(StandardCharsets.UTF_8));
        errors = err.toString(StandardCharsets.UTF_8);
        return code;
    }

    @Test
    void dispatchesARequestUntilItsResult() throws IOException {
        StringBuilder out = new StringBuilder();
        String result =
                """
            {"event_type":"sync","clock_ms":1105.5,"frame":3}
            {"event_type":"result","proxy_id":3,"xid":"r1","leg":0,"node":"10.0.0.1:5000","code":"Ok",\
            "duration_ms":100.0,"last":true,"info":1,"usage":[0.5]}
            {"event_type":"exit","proxy_id":3}
            {"event_type":"go"}
            """;
        assertEquals(0, run(BEGIN + ASK + result, out));
        assertEquals("", errors);
        String[] lines = out.toString().split("\n");
        assertEquals("{\"event_type\":\"observe\",\"proxy_id\":3,\"want\":true}", lines[0]);
        assertEquals("{\"event_type\":\"finished\",\"frame\":1}", lines[1]);
        assertTrue(
                lines[2].startsWith("{\"event_type\":\"dispatch\",\"proxy_id\":3,\"xid\":\"r1\","
                        + "\"node\":\"10.0.0.1:5000\",\"until_ms\":"),
                lines[2]);
        assertTrue(out.toString().endsWith("{\"event_type\":\"finished\",\"frame\":3}\n"));
    }

    @Test
    void exitsCleanlyAtEndOfInput() throws IOException {
        assertEquals(0, run("", new StringBuilder()));
    }

    @Test
    void reportsTheLineAndTheError() throws IOException {
        assertError("{\"event_type\":\"sync\",\"clock_ms\":1,\"frame\":1}\n{\"event_type\":", "line 2: ");
        assertError("{\"event_type\":\"go\"}\n", "line 1: go outside a batch");
        assertError("[]\n", "line 1: a message must be an object");
        assertError("{\"frame\":1}\n", "line 1: message without event_type");
        assertError("{\"event_type\":\"sync\",\"clock_ms\":1,\"frame\":1}\n", "input ends inside a batch");
        String sync = "{\"event_type\":\"sync\",\"clock_ms\":1,\"frame\":1}\n";
        assertError(sync + sync, "line 2: sync inside a batch");
        assertError(
                sync + "{\"event_type\":\"bell\",\"proxy_id\":1,\"nonce\":1}\n",
                "line 2: bell for an instance that has not begun");
        assertError(BEGIN + ASK.replace("\"xid\":\"r1\",", ""), "line 7: ask without xid");
        assertError(BEGIN + ASK.replace("\"kind\":0", "\"kind\":\"x\""), "line 7: kind must be an integer");
        assertError(BEGIN + ASK.replace("\"ask\"", "\"axe\""), "line 7: unknown event axe");
        assertError(BEGIN.replace("read_like", "other"), "unknown repeat \"other\"");
    }

    private void assertError(String input, String message) throws IOException {
        assertEquals(1, run(input, new StringBuilder()), input);
        assertTrue(errors.contains(message), errors);
        assertEquals(1, errors.lines().count(), errors);
    }

    @Test
    void reportsAnErrorOfTheModuleAsFatal() throws IOException {
        StringBuilder out = new StringBuilder();
        assertEquals(1, run(BEGIN.replace("\"send_cap\":3", "\"send_cap\":0"), out));
        assertTrue(out.toString().contains("\"event_type\":\"fatal\",\"proxy_id\":3,\"text\":"), out.toString());
        assertTrue(out.toString().contains("maxAttempts"), out.toString());
        assertTrue(out.toString().endsWith("{\"event_type\":\"finished\",\"frame\":1}\n"));
    }
}
