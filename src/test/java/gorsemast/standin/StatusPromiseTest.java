package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.standin.LoopbackNetwork.Answer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that fail payments with a status that promises; a network of its own, as edges then leave them out for payments. */
class StatusPromiseTest {
    @TempDir
    static Path data;

    private static LoopbackNetwork network;

    @BeforeAll
    static void start() throws IOException {
        network = LoopbackNetwork.started("127.0.86", data, 1);
    }

    @AfterAll
    static void end() {
        network.close();
    }

    private static Answer ask(String method, String path, byte[] body) {
        return network.call(network.fronts().get(0), method, path, LoopbackNetwork.client(path), body);
    }

    private static long runs(String uri) {
        return network.servers().stream()
                .flatMap(server -> server.runs().stream())
                .filter(run -> run.uri().equals(uri))
                .count();
    }

    /** Only {@code Not-Executed} says that it has not run: a status alone must not become our promise. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void aStatusThatPromisesIsKeptFromWhoseCallMayHaveRun(int status) {
        network.servers().forEach(server -> server.failsWith(status));
        String uri = "/orders/pay/promise" + status;
        Answer answer = ask("POST", uri, "pay".getBytes(StandardCharsets.UTF_8));
        assertThat(runs(uri)).isEqualTo(1);
        assertThat(answer.status()).isEqualTo(502);
    }
}
