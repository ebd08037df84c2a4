package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.logging.Log;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection. Requests may be sent ahead; the answers go back in their order. What may be repeated is begun
 * as it comes, up to {@link #AHEAD} at a time; what may not is begun only when nothing is before it, since what stands
 * behind an answer that closes the connection is sent again. All on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** So many requests of one connection are in hand at a time; of more, nothing is read. */
    private static final int AHEAD = 16;
    /** A body may take so much longer as this many bytes a second would. */
    private static final long SLOWEST_BYTES = 64_000;

    static final long SWEEP_MICROS = 250_000;
    private static final long STALLED_MICROS = 10_000_000;
    private static final long FORGOTTEN_MICROS = 1_000_000;
    private static final Log LOG = new Log("proxy");

    /** What the listener does for all connections. */
    interface Owner {
        long now();

        /** Longest body that is taken, in bytes. */
        long bodyBytes();

        /** From its first byte to the end of its head, in microseconds. */
        long headMicros();

        long idleMicros();

        /** Whether connections are to end with their answers. */
        boolean isClosing();

        /** Whether sockets are too few to be kept open for what is not needed. */
        boolean isShort();

        /** Whether the request may be begun beside others of its connection. */
        boolean repeatable(HttpRequest head);

        /** Room for so many bytes of bodies; given back with a negative number. */
        boolean room(long bytes);

        void take(Exchange turn);

        /** Who has a place for requests that take time. */
        ConcurrencyLimiter limiter();

        /** One of its places came free. */
        void released();

        /** Counts what happened on a connection, with how long it took. */
        void happened(SocketEvent event, long micros);

        /** Counts an answer that no service gave. */
        void answeredItself(LocalResponse why);

        void opened(ClientConnection connection);

        void closed(ClientConnection connection);
    }

    final Channel channel;
    final Owner owner;
    private final Deque<ClientRequest> requests = new ArrayDeque<>();
    private ClientRequest reading;
    /** When the first byte of what is not a whole head yet came; 0 where nothing has. */
    private long begun;

    private long since;
    /** How many requests have begun to come on it. */
    private long asked;

    private final ConnectionSlot place;
    private boolean closing;
    private boolean broken;

    ClientConnection(Channel channel, Owner owner) {
        this.channel = channel;
        this.owner = owner;
        this.place = new ConnectionSlot(channel.eventLoop(), owner::now, owner.limiter(), owner::released);
    }

    // ---- what comes

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        since = owner.now();
        owner.opened(this);
    }

    /** Looks whether its time is over; called for all of them every {@link #SWEEP_MICROS}. */
    void sweep(long now) {
        ClientRequest late = reading;
        if (late != null && now - late.headAt > owner.headMicros() + late.bytes * 1_000_000L / SLOWEST_BYTES) {
            refuse(late, LocalResponse.TOO_SLOW);
        } else if (requests.isEmpty() && begun != 0 && now - begun > owner.headMicros()) {
            close();
        } else if (requests.isEmpty() && begun == 0 && now - since > owner.idleMicros()) {
            close();
        } else if (!requests.isEmpty()
                && requests.peek().streaming
                && !channel.isWritable()
                && now - since > STALLED_MICROS) {
            close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!closing && !broken) {
                read(message);
            }
        } catch (RuntimeException e) {
            LOG.internalError(e);
            close();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        since = owner.now();
        if (message instanceof HttpRequest head) {
            begun = 0;
            asked++;
            reading = new ClientRequest(this, head);
            requests.add(reading);
            LocalResponse problem = problem(head);
            if (problem != null) {
                refuse(reading, problem);
                return;
            }
            if (HttpUtil.is100ContinueExpected(head) && requests.size() == 1) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (message instanceof HttpContent part && reading != null) {
            ClientRequest request = reading;
            if (part.decoderResult().isFailure()) {
                refuse(request, LocalResponse.MALFORMED);
                return;
            }
            int more = part.content().readableBytes();
            if (request.bytes + more > owner.bodyBytes()) {
                refuse(request, LocalResponse.BODY_TOO_LONG);
                return;
            }
            if (more > 0) {
                if (!owner.room(more)) {
                    refuse(request, LocalResponse.NO_ROOM_FOR_BODY);
                    return;
                }
                request.bytes += more;
                request.body.add(part.content());
            }
            if (part instanceof LastHttpContent) {
                request.whole = true;
                request.arrival = owner.now();
                reading = null;
                start();
            }
        }
    }

    private static LocalResponse problem(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return head.decoderResult().cause() instanceof io.netty.handler.codec.http.TooLongHttpHeaderException
                            || head.decoderResult().cause()
                                    instanceof io.netty.handler.codec.http.TooLongHttpLineException
                    ? LocalResponse.HEAD_TOO_LONG
                    : LocalResponse.MALFORMED;
        }
        boolean oneHost = head.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        boolean path = head.uri().startsWith("/");
        return oneHost && path && head.protocolVersion().majorVersion() == 1 ? null : LocalResponse.MALFORMED;
    }

    /** An error for what can't be read on; the connection ends with it. */
    private void refuse(ClientRequest request, LocalResponse why) {
        HttpResponseStatus status = status(why);
        owner.answeredItself(why);
        closing = true;
        reading = null;
        request.whole = true;
        request.started = true;
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set(HttpHeaderNames.RETRY_AFTER, "0.5");
        }
        request.answer(status.code(), headers, Unpooled.EMPTY_BUFFER);
    }

    private static HttpResponseStatus status(LocalResponse why) {
        return switch (why) {
            case TOO_SLOW -> HttpResponseStatus.REQUEST_TIMEOUT;
            case BODY_TOO_LONG -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            case HEAD_TOO_LONG -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            case NO_ROOM_FOR_BODY -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            default -> HttpResponseStatus.BAD_REQUEST;
        };
    }

    private void start() {
        boolean first = true;
        boolean alone = true;
        for (ClientRequest request : requests.toArray(new ClientRequest[0])) {
            if (!request.whole || broken) {
                break;
            }
            if (!request.started) {
                request.repeatable = owner.repeatable(request.head); // a new configuration may have come since its head
            }
            if (!request.started && (first || request.repeatable && alone)) {
                request.started = true;
                begin(request);
            }
            // Behind one that may close the connection, or that waits to be alone, nothing else is begun.
            alone &= request.repeatable && request.keepAlive;
            first = false;
        }
        channel.config().setAutoRead(requests.size() < AHEAD);
    }

    /**
     * Hands a request over once all that has come with it is read: where its client has left already, as it may have while it waited to
     * be accepted, the end of the connection has come too, and there is nobody to work for.
     */
    private void begin(ClientRequest request) {
        channel.eventLoop().execute(() -> {
            if (!broken && channel.isActive()) {
                owner.take(request);
            }
        });
    }

    /** Asks for a place for requests that take time, as {@link Exchange#acquire} says. */
    void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused) {
        place.acquire(kind, admitted, refused);
    }

    // ---- what goes

    boolean isBroken() {
        return broken;
    }

    /** Whether its answer is the one that is written now. */
    boolean isFirst(ClientRequest request) {
        return requests.peek() == request;
    }

    void flush() {
        boolean wrote = false;
        while (!requests.isEmpty() && requests.peek().answered && !broken) {
            ClientRequest request = requests.peek();
            boolean last = false;
            if (request.ready != null) {
                last = (closing || !request.keepAlive || owner.isClosing()) && noneStartedBehind();
                if (last) {
                    request.ready.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                    closing = true;
                } else {
                    request.ready.headers().remove(HttpHeaderNames.CONNECTION);
                }
                channel.write(request.ready);
                request.ready = null;
                if (request.content.isReadable()) {
                    channel.write(new DefaultHttpContent(request.content));
                } else {
                    request.content.release();
                }
                request.content = request.streaming ? channel.alloc().heapBuffer() : Unpooled.EMPTY_BUFFER;
                wrote = true;
            } else if (request.content.isReadable()) {
                channel.write(new DefaultHttpContent(request.content));
                request.content = channel.alloc().heapBuffer();
            }
            if (request.streaming && request.cut) {
                request.content.release();
                channel.flush();
                channel.close(); // it must not look complete
                return;
            }
            if (request.streaming && !request.streamed) {
                channel.flush();
                return;
            }
            if (request.streaming) {
                request.content.release();
            }
            requests.poll();
            since = owner.now();
            long ready = since;
            ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            owner.happened(SocketEvent.CLIENT_ANSWERED, ready - request.arrival);
            written.addListener(done -> {
                owner.happened(SocketEvent.ANSWER_WRITTEN, owner.now() - ready);
                if (requests.isEmpty()) {
                    place.leave();
                }
            });
            wrote = false;
            if (closing && requests.stream().noneMatch(one -> one.started)) {
                written.addListener((ChannelFutureListener) done -> part());
                return;
            }
        }
        if (wrote) {
            channel.flush();
        }
        if (!closing && !broken) {
            start();
        }
    }

    private boolean noneStartedBehind() {
        boolean first = true;
        for (ClientRequest request : requests) {
            if (!first && request.started) {
                return false;
            }
            first = false;
        }
        return true;
    }

    /**
     * Closes it behind its last answer. A client that may have sent more, as it has sent ahead before, is told first that nothing more
     * comes: unread bytes would else reset the connection and lose the answer. Where sockets are short and nothing else can be on its way,
     * it is closed at once: the system sends on what it has taken, and the socket is free meanwhile.
     */
    private void part() {
        boolean nothingOnItsWay = asked == 1
                && channel.pipeline()
                        .get(gorsemast.http.StrictHttp.Requests.class)
                        .empty();
        if (nothingOnItsWay && owner.isShort()) {
            channel.close();
        } else if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput().addListener(done -> channel.eventLoop()
                    .schedule(
                            () -> {
                                channel.close();
                            },
                            SWEEP_MICROS,
                            TimeUnit.MICROSECONDS));
        } else {
            channel.close();
        }
    }

    /** Whether nothing is asked on it, nor begun to be, and the last answer has left. */
    boolean idle() {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return requests.isEmpty() && begun == 0 && (waiting == null || waiting.totalPendingWriteBytes() == 0);
    }

    /** Whether that has been so for long enough that nothing is on its way to it. */
    boolean forgotten(long now) {
        return idle() && now - since > FORGOTTEN_MICROS;
    }

    /** Ends it. */
    void close() {
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ClientRequest first = requests.peek();
        if (first != null && first.streaming && !first.streamed && channel.isWritable()) {
            since = owner.now();
            first.flow.pause(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (reading == null && requests.isEmpty() && begun == 0 && !closing) {
            begun = decoderHasBytes(ctx) ? owner.now() : 0;
        }
    }

    private static boolean decoderHasBytes(ChannelHandlerContext ctx) {
        return !ctx.pipeline().get(gorsemast.http.StrictHttp.Requests.class).empty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = true;
        owner.closed(this);
        place.leave();
        if (asked == 0) {
            owner.happened(SocketEvent.CLIENT_LEFT_UNASKED, 0);
        }
        for (ClientRequest request : requests) {
            if (!request.answered) {
                request.answered = true;
                owner.happened(SocketEvent.CLIENT_LEFT_UNANSWERED, request.whole ? owner.now() - request.arrival : 0);
                if (request.started) {
                    request.leave.run();
                }
                request.drop();
            } else if (request.streaming && !request.streamed && !request.cut) {
                request.flow.cancel();
            }
            if (request.content.refCnt() > 0) {
                request.content.release();
            }
        }
        requests.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
