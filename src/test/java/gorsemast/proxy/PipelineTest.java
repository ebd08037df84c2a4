package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.ResponseSink;
import gorsemast.http.StrictHttp;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Pipelined requests. A client sends requests again that follow a response which closes the connection, so these must
 * not be started.
 */
class PipelineTest {
    private static final int HEAD_LIMIT = 8_192;
    /** Of a response whose write fails. */
    private static final int BODY_BYTES = 5_000;

    private final List<Exchange> started = new ArrayList<>();
    private final Set<String> notRepeatable = new HashSet<>(Set.of("/pay"));
    private final Map<String, Boolean> firstDecisions = new HashMap<>();
    private boolean closing;
    private boolean hasFewSockets;
    private int maxHeadBytes = HEAD_LIMIT;
    /** Injected defect: the decision whether a request may be repeated is made once, when its head arrives. */
    private boolean decidesAtHead;

    private final EmbeddedChannel channel =
            new EmbeddedChannel(new StrictHttp.Requests(HEAD_LIMIT), new HttpResponseEncoder());

    PipelineTest() {
        channel.pipeline().addLast(new ClientConnection(channel, new ClientConnection.Owner() {
            @Override
            public long now() {
                return 1;
            }

            @Override
            public int maxHeadBytes() {
                return maxHeadBytes;
            }

            @Override
            public long maxBodyBytes() {
                return 100;
            }

            @Override
            public long headTimeoutMicros() {
                return 1_000_000;
            }

            @Override
            public long idleTimeoutMicros() {
                return 1_000_000;
            }

            @Override
            public boolean isClosing() {
                return closing;
            }

            @Override
            public boolean isRepeatable(HttpRequest head) {
                boolean now = !notRepeatable.contains(head.uri());
                return decidesAtHead ? firstDecisions.computeIfAbsent(head.uri(), uri -> now) : now;
            }

            @Override
            public boolean reserveBodyBytes(long bytes) {
                return true;
            }

            @Override
            public void handle(Exchange exchange) {
                exchange.takeBody().release();
                started.add(exchange);
            }

            @Override
            public boolean hasFewSockets() {
                return hasFewSockets;
            }

            @Override
            public ConcurrencyLimiter limiter() {
                return new ConcurrencyLimiter(ConcurrencyLimiter.UNBOUNDED, 0);
            }

            @Override
            public void slotReleased() {
                // the limiter is unbounded
            }

            @Override
            public void countEvent(SocketEvent event, long micros) {
                // not checked
            }

            @Override
            public void countLocalResponse(LocalResponse reason) {
                // not checked
            }

            @Override
            public void opened(ClientConnection connection) {
                // there is only one connection
            }

            @Override
            public void closed(ClientConnection connection) {
                // there is only one connection
            }
        }));
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void sendRequests(String... requests) {
        for (String request : requests) {
            send("GET " + request + " HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private List<String> started() {
        channel.runPendingTasks(); // requests are handed over after everything received with them has been read
        return started.stream().map(Exchange::uri).toList();
    }

    /** Responds to a started request; returns everything written to the client since the last call. */
    private String respondTo(int index) {
        started.get(index).respond(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        StringBuilder text = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            text.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
        }
        return text.toString();
    }

    @Test
    void repeatableRequestsAreStartedAheadAndAnsweredInOrder() {
        sendRequests("/a", "/b");
        assertThat(started()).containsExactly("/a", "/b");
        assertThat(respondTo(1)).isEmpty();
        assertThat(respondTo(0).split("HTTP/1.1 200", -1)).hasSize(3);
    }

    @Test
    void nonRepeatableRequestIsStartedOnlyWhenFirst() {
        sendRequests("/a", "/pay", "/b");
        assertThat(started()).containsExactly("/a");
        respondTo(0);
        assertThat(started()).containsExactly("/a", "/pay");
        respondTo(1);
        assertThat(started()).containsExactly("/a", "/pay", "/b");
    }

    @Test
    void nothingIsStartedBehindAClosingResponse() {
        sendRequests("/a", "/pay", "/b");
        closing = true;
        assertThat(respondTo(0)).contains("connection: close");
        assertThat(started()).containsExactly("/a");
    }

    @Test
    void responseClosesOnlyWhenNothingBehindItIsStarted() {
        sendRequests("/a", "/b", "/pay");
        closing = true;
        assertThat(respondTo(0)).doesNotContain("close");
        assertThat(respondTo(1)).contains("connection: close");
        assertThat(started()).containsExactly("/a", "/b");
    }

    @Test
    void nothingIsStartedBehindAClientsConnectionClose() {
        send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        sendRequests("/b", "/pay");
        assertThat(started()).containsExactly("/a");
        assertThat(respondTo(0)).contains("connection: close");
        assertThat(started()).containsExactly("/a");
    }

    /**
     * A new configuration arrives between the head and the last byte of a request: it applies when the request is
     * started.
     */
    @Test
    void requestIsNotStartedAheadOnceItsRouteIsNotRepeatable() {
        sendRequests("/a");
        send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n");
        notRepeatable.add("/b");
        send("x");
        assertThat(started()).containsExactly("/a");
        respondTo(0);
        assertThat(started()).containsExactly("/a", "/b");
    }

    @Test
    void defectOfDecidingAtTheHeadIsDetected() {
        decidesAtHead = true;
        assertThatThrownBy(this::requestIsNotStartedAheadOnceItsRouteIsNotRepeatable)
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void nothingIsStartedBehindARejectedRequest() {
        sendRequests("/a");
        send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101));
        sendRequests("/pay");
        String all = respondTo(0);
        assertThat(all).contains("413").contains("connection: close");
        assertThat(started()).containsExactly("/a");
    }

    /**
     * A client that disconnected while it waited to be accepted: its request and the end of its connection are read
     * together.
     */
    @Test
    void requestOfADisconnectedClientIsNotStarted() {
        ByteBuf request = Unpooled.copiedBuffer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII);
        channel.pipeline().fireChannelRead(request);
        channel.pipeline().fireChannelInactive();
        assertThat(started()).isEmpty();
    }

    @Test
    void connectionIsClosedAtOnceWhereSocketsAreScarce() {
        closing = true;
        hasFewSockets = true;
        sendRequests("/a");
        assertThat(started()).containsExactly("/a");
        assertThat(respondTo(0)).contains("connection: close");
        assertThat(channel.isOpen()).as("nothing else can be on its way").isFalse();
    }

    /** Records whether the source of a streamed response is paused. */
    private static final class Source implements ResponseSink.FlowControl {
        private boolean paused;

        @Override
        public void pause(boolean now) {
            paused = now;
        }

        @Override
        public void cancel() {
            paused = true;
        }
    }

    private ResponseSink startStreaming(int index, int length, Source source) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        return started.get(index).startStreaming(head, new DefaultHttpHeaders(), length, source);
    }

    private static ByteBuf bytes(int length) {
        return Unpooled.wrappedBuffer(new byte[length]);
    }

    private void clientReads(boolean reads) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, reads);
        channel.runPendingTasks();
    }

    /** LOST: nobody resumed the server's connection, and the response never came to its end. */
    @Test
    void streamPausedBehindAnotherResponseGoesOnWhenItIsFirst() {
        sendRequests("/a", "/b");
        assertThat(started()).containsExactly("/a", "/b");
        Source source = new Source();
        ResponseSink sink = startStreaming(1, 100_000, source);
        clientReads(false);
        sink.part(bytes(1_000));
        assertThat(source.paused).isTrue();
        clientReads(true);
        respondTo(0);
        assertThat(source.paused).isFalse();
    }

    /** MIXED: the bytes of the next response took the place of those whose write had failed. */
    @Test
    void failedWriteEndsTheConnection() {
        sendRequests("/a", "/b");
        assertThat(started()).containsExactly("/a", "/b");
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                if (message instanceof ByteBuf content && content.readableBytes() == BODY_BYTES) {
                    content.release();
                    promise.setFailure(new OutOfMemoryError("injected: no direct memory"));
                } else {
                    ctx.write(message, promise);
                }
            }
        });
        started.get(1).respond(200, new DefaultHttpHeaders(), bytes(10));
        started.get(0).respond(200, new DefaultHttpHeaders(), bytes(BODY_BYTES));
        channel.runPendingTasks();
        assertThat(channel.isOpen()).isFalse();
        assertThat(respondTo(0).split("HTTP/1.1 200", -1)).hasSizeLessThanOrEqualTo(2);
    }

    /** Each response that is written takes memory outside the heap, of which there is little. */
    @Test
    void responsesAreNotWrittenWhileTheClientDoesNotRead() {
        sendRequests("/a", "/b");
        assertThat(started()).containsExactly("/a", "/b");
        clientReads(false);
        started.get(1).respond(200, new DefaultHttpHeaders(), bytes(10));
        assertThat(respondTo(0)).isEmpty();
        clientReads(true);
        assertThat(respondTo(0).split("HTTP/1.1 200", -1)).hasSize(3);
    }

    /** Netty's decoder consumes each line of a head as it comes, so that nothing may be left in its buffer. */
    @Test
    void connectionIsNotIdleWithinAHead() {
        ClientConnection connection = channel.pipeline().get(ClientConnection.class);
        assertThat(connection.isIdle()).isTrue();
        send("GET /a HTTP/1.1\r\nHost: h\r\n");
        assertThat(connection.isIdle()).isFalse();
        send("\r\n");
        assertThat(started()).containsExactly("/a");
        respondTo(0);
        assertThat(connection.isIdle()).isTrue();
    }

    private static String longHeader() {
        return "X-Long: " + "x".repeat(2 * HEAD_LIMIT) + "\r\n";
    }

    /** DENIED: a kept connection was held to the limit of the moment at which it had been accepted. */
    @Test
    void raisedHeadLimitAppliesToAKeptConnection() {
        sendRequests("/a");
        assertThat(started()).containsExactly("/a");
        respondTo(0);
        maxHeadBytes = 4 * HEAD_LIMIT;
        channel.pipeline().get(ClientConnection.class).checkLimits(1);
        send("GET /b HTTP/1.1\r\nHost: h\r\n" + longHeader() + "\r\n");
        assertThat(started()).containsExactly("/a", "/b");
    }

    @Test
    void changedHeadLimitWaitsForTheEndOfAMessage() {
        ClientConnection connection = channel.pipeline().get(ClientConnection.class);
        send("POST /a HTTP/1.1\r\nHost: h\r\n");
        maxHeadBytes = 4 * HEAD_LIMIT;
        connection.checkLimits(1);
        send("Content-Length: 2\r\n\r\nx");
        connection.checkLimits(1);
        send("x");
        assertThat(started()).containsExactly("/a");
        send("GET /b HTTP/1.1\r\nHost: h\r\n" + longHeader() + "\r\n");
        assertThat(started()).containsExactly("/a", "/b");
    }
}
