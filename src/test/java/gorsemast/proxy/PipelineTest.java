package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.StrictHttp;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests sent ahead: what stands behind an answer that closes the connection is sent again, so it is not begun. */
class PipelineTest {
    private final List<Exchange> begun = new ArrayList<>();
    private final Set<String> once = new HashSet<>(Set.of("/pay"));
    private final Map<String, Boolean> known = new HashMap<>();
    private boolean closing;
    private boolean isShort;
    /** A defect: what a route was when a head came is held to be so when its request is begun. */
    private boolean judgesByTheHead;

    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictHttp.Requests(), new HttpResponseEncoder());

    PipelineTest() {
        channel.pipeline().addLast(new ClientConnection(channel, new ClientConnection.Owner() {
            @Override
            public long now() {
                return 1;
            }

            @Override
            public long bodyBytes() {
                return 100;
            }

            @Override
            public long headMicros() {
                return 1_000_000;
            }

            @Override
            public long idleMicros() {
                return 1_000_000;
            }

            @Override
            public boolean isClosing() {
                return closing;
            }

            @Override
            public boolean repeatable(HttpRequest head) {
                boolean now = !once.contains(head.uri());
                return judgesByTheHead ? known.computeIfAbsent(head.uri(), uri -> now) : now;
            }

            @Override
            public boolean room(long bytes) {
                return true;
            }

            @Override
            public void take(Exchange turn) {
                turn.takeBody().release();
                begun.add(turn);
            }

            @Override
            public boolean isShort() {
                return isShort;
            }

            @Override
            public ConcurrencyLimiter limiter() {
                return new ConcurrencyLimiter(ConcurrencyLimiter.UNBOUNDED, 0);
            }

            @Override
            public void released() {
                // there are enough
            }

            @Override
            public void happened(SocketEvent event, long micros) {
                // not looked at
            }

            @Override
            public void answeredItself(LocalResponse why) {
                // not looked at
            }

            @Override
            public void opened(ClientConnection connection) {
                // one is enough
            }

            @Override
            public void closed(ClientConnection connection) {
                // one is enough
            }
        }));
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void sends(String... requests) {
        for (String request : requests) {
            says("GET " + request + " HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }

    private void says(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private List<String> begun() {
        channel.runPendingTasks(); // a request is handed over once all that has come with it is read
        return begun.stream().map(Exchange::uri).toList();
    }

    /** Answers it; returns all that has been written to the client since. */
    private String answer(int which) {
        begun.get(which).answer(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        StringBuilder text = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            text.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
        }
        return text.toString();
    }

    @Test
    void whatMayBeRepeatedIsBegunAheadAndAnsweredInOrder() {
        sends("/a", "/b");
        assertThat(begun()).containsExactly("/a", "/b");
        assertThat(answer(1)).isEmpty();
        assertThat(answer(0).split("HTTP/1.1 200", -1)).hasSize(3);
    }

    @Test
    void whatMayNotIsBegunWhenNothingIsBeforeIt() {
        sends("/a", "/pay", "/b");
        assertThat(begun()).containsExactly("/a");
        answer(0);
        assertThat(begun()).containsExactly("/a", "/pay");
        answer(1);
        assertThat(begun()).containsExactly("/a", "/pay", "/b");
    }

    @Test
    void behindAnAnswerThatClosesNothingIsBegun() {
        sends("/a", "/pay", "/b");
        closing = true;
        assertThat(answer(0)).contains("connection: close");
        assertThat(begun()).containsExactly("/a");
    }

    @Test
    void anAnswerClosesOnlyWhenNothingBehindItHasBegun() {
        sends("/a", "/b", "/pay");
        closing = true;
        assertThat(answer(0)).doesNotContain("close");
        assertThat(answer(1)).contains("connection: close");
        assertThat(begun()).containsExactly("/a", "/b");
    }

    @Test
    void behindAClientsOwnCloseNothingIsBegun() {
        says("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        sends("/b", "/pay");
        assertThat(begun()).containsExactly("/a");
        assertThat(answer(0)).contains("connection: close");
        assertThat(begun()).containsExactly("/a");
    }

    /** Between its head and its last byte a new configuration has come: by that it is judged when it is begun. */
    @Test
    void aRouteThatMayNotRepeatAnyMoreIsNotBegunAhead() {
        sends("/a");
        says("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n");
        once.add("/b");
        says("x");
        assertThat(begun()).containsExactly("/a");
        answer(0);
        assertThat(begun()).containsExactly("/a", "/b");
    }

    @Test
    void theDefectThatJudgesByTheHeadIsFound() {
        judgesByTheHead = true;
        assertThatThrownBy(this::aRouteThatMayNotRepeatAnyMoreIsNotBegunAhead).isInstanceOf(AssertionError.class);
    }

    @Test
    void whatIsBehindARequestThatCannotBeReadIsNotBegun() {
        sends("/a");
        says("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101));
        sends("/pay");
        String all = answer(0);
        assertThat(all).contains("413").contains("connection: close");
        assertThat(begun()).containsExactly("/a");
    }

    /** A client that left while it waited to be accepted: its request and the end of its connection come together. */
    @Test
    void aRequestWhoseClientHasLeftIsNotBegun() {
        ByteBuf request = Unpooled.copiedBuffer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII);
        channel.pipeline().fireChannelRead(request);
        channel.pipeline().fireChannelInactive();
        assertThat(begun()).isEmpty();
    }

    @Test
    void whereSocketsAreShortAnAnswerIsLeftToTheSystem() {
        closing = true;
        isShort = true;
        sends("/a");
        assertThat(begun()).containsExactly("/a");
        assertThat(answer(0)).contains("connection: close");
        assertThat(channel.isOpen()).as("nothing else can be on its way").isFalse();
    }
}
