package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.dispatch.RawServer;
import gorsemast.http.ResponseForm;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** What a client of the control interface takes for an answer. */
class HttpCallTest {
    private static final int WAIT_SECONDS = 20;
    private static final String NONE = "0 ";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    static List<ResponseForm> wellFormed() {
        return ResponseForm.wellFormed();
    }

    private String answer(String method, String text) throws Exception {
        try (RawServer server = new RawServer(4)) {
            HttpCall.send(group.next(), server.address(), method, "/", Map.of(), null, (status, body) -> {
                answers.add(status + " " + new String(body, StandardCharsets.US_ASCII));
            });
            RawServer.Connection connection = server.accept();
            connection.request();
            connection.sendUntilClosed(text);
            return answers.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenAnswerIsNone(ResponseForm form) throws Exception {
        assertThat(answer("GET", form.text("", "body"))).isEqualTo(NONE);
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void unusualAnswerIsAccepted(ResponseForm form) throws Exception {
        assertThat(answer("GET", form.text("", "body"))).isEqualTo("200 body");
    }

    /** Interim responses precede the answer; one that switches protocols is no answer to any request sent here. */
    @Test
    void interimResponseIsNoAnswer() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        assertThat(answer("GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: 1\r\n\r\n" + whole))
                .isEqualTo("200 body");
        assertThat(answer("GET", "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + whole))
                .isEqualTo(NONE);
    }

    @Test
    void answerToHeadHasNoBody() throws Exception {
        assertThat(answer("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"))
                .isEqualTo("200 ");
    }
}
