package anisebend.net;

import gorsemast.http.BodyBuffer;
import gorsemast.http.ResponseSink;
import gorsemast.http.StrictHttp;
import gorsemast.retention.BodyBudget;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection, on which one request is in hand at a time. A request is taken when the read that
 * completes it is done and nothing came behind it: a client waits for its answer before it asks again, so whoever
 * sends on regardless is turned away and nothing of it reaches the module.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Engine.Client, ResponseSink {
    /** A bad client is owed an error or a close within 3 s; a good one sends its request in far less. */
    private static final long WHOLE_MICROS = 2_000_000;
    /** A body may take so much longer as this many bytes a second would. */
    private static final long SLOWEST_BYTES = 64_000;
    /** A body of unknown length asks for room in steps. */
    private static final long GROWTH = 1 << 20;
    /** A connection may be closed 2 s after its last answer. */
    private static final long IDLE_MICROS = 2_500_000;
    /** Who takes nothing of a long answer for this long has stopped reading. */
    private static final long STALLED_MICROS = 10_000_000;
    /** Who says nothing for this long makes room first when there is none. */
    private static final long SILENT_MICROS = 200_000;
    /** A client that was turned away is not listened to for this long, however fast it asks again. */
    private static final long PAUSE_MILLIS = 250;

    /**
     * Says that nothing more comes before it closes: who has sent more than was read would else have a reset at once,
     * and may lose the answer with it.
     */
    private static final ChannelFutureListener PART = written -> {
        if (written.isSuccess() && written.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput().addListener(done -> duplex.eventLoop().execute(duplex::close));
        } else {
            written.channel().close();
        }
    };

    /** What the server does for all connections. */
    interface Owner {
        ProxyConfig config();

        Engine engine();

        /** Room for bodies that are longer than {@link RequestHead#SHORT_BODY}. */
        BodyBudget<Body> bodies();

        /** Gives the room of a body back. */
        void letGo(Body body);

        /** What a probe at the clients' address is told. */
        boolean ready();

        /** Whether connections are to end with their answers. */
        boolean closing();

        void opened(ClientConnection connection);

        void closed(ClientConnection connection);

        /** When a request is to come back that this process has no time for, in microseconds; 0 takes it. */
        long turnsAway(RequestHead head);

        /** A whole request is in hand. */
        void asks(ClientConnection connection);

        /** A request of a class that is configured has been answered with this status. */
        default void answered(int requestClass, HttpResponseStatus status) {}

        /** An answer has been written and no request is in hand. */
        void idle(ClientConnection connection, boolean turnedAway);

        /** For observers: something happened at the door, in a word. */
        default void counted(String what) {}
    }

    private enum State {
        NEW,
        READING,
        BUSY,
        IDLE,
        CLOSING
    }

    private final Channel channel;
    private final StrictHttp.Requests decoder;
    private final Owner owner;
    private State state = State.NEW;
    /** When this state began. */
    private long since;

    private boolean turnedAway;
    /** The same within the present read. */
    private boolean turnedAwayNow;

    private HttpRequest request;
    private RequestHead head;
    private Body body;
    /** The class of the request in hand, -1 where it has none. */
    private int requestClass = -1;

    private boolean complete;
    private boolean keepAlive;
    /** When the request that is being read is to come back; 0 for one that is taken. Nothing is kept of it. */
    private long comeBack;
    /** How much of its body has come. */
    private long received;
    /** When its head was whole, or it got room. */
    private long bodySince;

    private Engine.Exchange exchange;
    /** The source of an answer that is being passed on. */
    private ResponseSink.FlowControl passing;
    /** How many bytes of that are still to come; negative where it is not known. */
    private long rest;
    /** An answer was long: its client may stand still within it, also when the last of it has been written here. */
    private boolean wasLong;
    /** What the system had not taken yet when it was last looked at. */
    private long unsent;

    private boolean old;

    /** A request's body on its way in, with the room that it has or waits for. */
    final class Body {
        private final BodyBuffer kept = new BodyBuffer(channel.alloc());
        private final boolean expected;
        private long room = RequestHead.SHORT_BODY;
        private boolean waits;
        private boolean over;

        Body(boolean expected) {
            this.expected = expected;
        }

        /** Makes sure of room for so many bytes, all of them where that is {@code known}; until then nothing is read. */
        private void need(long bytes, boolean known) {
            if (bytes <= room || waits) {
                return;
            }
            room = known
                    ? bytes
                    : Math.min(Math.min(RequestHead.MAX_BODY, owner.bodies().capacity()), bytes + GROWTH);
            waits = known
                    ? !owner.bodies().reserve(this, room)
                    : !owner.bodies().growTo(this, room);
            if (waits) {
                owner.counted("body waits");
                channel.config().setAutoRead(false);
            }
        }

        /** It has its room; its time begins anew, as it could send nothing. */
        void admitted() {
            waits = false;
            channel.config().setAutoRead(true);
            if (body == this) {
                bodySince = owner.engine().now() - receivedTime();
                goOn();
            }
        }

        private void goOn() {
            if (expected && received == 0) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** Nothing of it is needed any more. */
        void done() {
            if (!over) {
                over = true;
                if (waits) {
                    channel.config().setAutoRead(true);
                }
                if (waits || room > RequestHead.SHORT_BODY) {
                    owner.letGo(this);
                }
            }
        }
    }

    ClientConnection(Channel channel, StrictHttp.Requests decoder, Owner owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.owner = owner;
    }

    private void enter(State next) {
        state = next;
        since = owner.engine().now();
    }

    // ---- what comes from the client

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        enter(State.NEW);
        owner.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.closed(this);
        owner.counted(state + ">closed");
        dropRequest();
        state = State.CLOSING;
        if (passing != null) {
            ResponseSink.FlowControl source = passing;
            passing = null;
            source.cancel();
        }
        if (exchange != null) {
            Engine.Exchange left = exchange;
            exchange = null;
            owner.engine().gone(left);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        owner.closed(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read(message);
        } catch (RuntimeException e) {
            System.err.println("fault: " + e);
            turnAway(HttpResponseStatus.BAD_GATEWAY, false);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (state == State.CLOSING) {
            return;
        }
        if (state == State.BUSY) {
            keepAlive = false; // it has sent ahead: the answer in hand is its last, and the rest is dropped
            return;
        }
        if (message instanceof HttpRequest && (complete || turnedAwayNow)) {
            turnAway(HttpResponseStatus.BAD_REQUEST, false); // more requests than one in a read
            return;
        }
        if (message instanceof HttpRequest start) {
            begin(start);
        }
        if (message instanceof HttpContent content && state == State.READING) {
            add(content);
        }
    }

    private void begin(HttpRequest start) {
        if (state != State.READING) {
            enter(State.READING);
        }
        request = start;
        wasLong = false;
        received = 0;
        head = new RequestHead(start, owner.config());
        keepAlive = HttpUtil.isKeepAlive(start);
        old = start.protocolVersion().equals(HttpVersion.HTTP_1_0);
        requestClass = head.problem == null && head.id != null ? head.requestClass : -1;
        comeBack = head.problem == null && head.id != null ? owner.turnsAway(head) : 0;
        if (head.problem != null) {
            turnAway(head.problem, head.framed && keepAlive);
        } else if (comeBack > 0 && !head.framed && HttpUtil.is100ContinueExpected(start)) {
            dropRequest();
            keepAlive = false; // whether the body still comes is up to the client
            refused(comeBack);
        } else if (head.id != null && !head.framed) {
            body = new Body(HttpUtil.is100ContinueExpected(start));
            bodySince = owner.engine().now();
            if (head.length > Math.max(owner.bodies().capacity(), RequestHead.SHORT_BODY)) {
                turnAway(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false);
                return;
            }
            if (comeBack == 0) {
                body.need(head.length, true);
            }
            if (!body.waits) {
                body.goOn();
            }
        } else if (HttpUtil.is100ContinueExpected(start)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void add(HttpContent content) {
        ByteBuf part = content.content();
        if (content.decoderResult().isFailure()) {
            turnAway(HttpResponseStatus.BAD_REQUEST, false);
        } else if ((received += part.readableBytes()) > longest()) {
            turnAway(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false);
        } else {
            complete = content instanceof LastHttpContent;
            if (part.isReadable() && comeBack == 0 && body != null) {
                body.kept.add(part);
                if (!complete) {
                    body.need(received, false);
                }
            }
        }
    }

    private long longest() {
        return Math.min(RequestHead.MAX_BODY, Math.max(owner.bodies().capacity(), RequestHead.SHORT_BODY));
    }

    /** What a client may take for as much of its body as has come. */
    private long receivedTime() {
        return received * 1_000_000L / SLOWEST_BYTES;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        turnedAwayNow = false;
        if (state == State.BUSY && !decoder.isEmpty()) {
            keepAlive = false;
        } else if (complete && !decoder.isEmpty()) {
            turnAway(HttpResponseStatus.BAD_REQUEST, false);
        } else if (complete) {
            try {
                take();
            } catch (RuntimeException e) {
                System.err.println("fault: " + e);
                answer(HttpResponseStatus.BAD_GATEWAY);
            }
        } else if ((state == State.NEW || state == State.IDLE) && !decoder.isEmpty()) {
            enter(State.READING); // the first bytes of a head
        }
    }

    private void take() {
        HttpRequest start = request;
        RequestHead wanted = head;
        Body came = body;
        request = null;
        head = null;
        complete = false;
        body = null;
        enter(State.BUSY);
        owner.asks(this);
        if (wanted.id == null) {
            drop(came);
            answer(owner.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        if (comeBack > 0) {
            drop(came);
            refused(comeBack);
            return;
        }
        Engine.Exchange taken = owner.engine()
                .take(
                        new Engine.Call(
                                start.method(),
                                start.uri(),
                                wanted.id,
                                wanted.idempotencyKey,
                                came == null ? Unpooled.EMPTY_BUFFER : came.kept.take(),
                                wanted.requestClass,
                                wanted.tenant,
                                wanted.key.isEmpty() ? null : wanted.key,
                                since,
                                wanted.waitMicros,
                                came == null ? () -> {} : came::done),
                        this);
        if (taken == null) {
            turnAway(HttpResponseStatus.CONFLICT, keepAlive); // another's request of this id is open
        } else if (!taken.answered()) { // it may have been, at once
            exchange = taken;
        }
    }

    private void dropRequest() {
        request = null;
        head = null;
        complete = false;
        Body came = body;
        body = null;
        drop(came);
    }

    private static void drop(Body came) {
        if (came != null) {
            came.kept.release();
            came.done();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    // ---- what goes to the client

    /** An error for what is not taken; the connection stays only where the next request's beginning is certain. */
    private void turnAway(HttpResponseStatus status, boolean stay) {
        dropRequest();
        turnedAway = true;
        turnedAwayNow = true;
        keepAlive = stay;
        answer(status);
        if (stay && state == State.IDLE) {
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(() -> channel.config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void served(FullHttpResponse answer) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, answer.content().retain());
        copyType(answer, response);
        turnedAway = false;
        write(response);
    }

    private static void copyType(HttpResponse from, HttpResponse to) {
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
    }

    /** Passes an answer on. Where its length is not known, HTTP/1.0 knows its end by the connection's alone. */
    @Override
    public ResponseSink begins(HttpResponse answer, long length, ResponseSink.FlowControl flow) {
        exchange = null;
        passing = flow;
        rest = length;
        wasLong = true;
        turnedAway = false;
        concluded(HttpResponseStatus.OK);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        copyType(answer, response);
        keepAlive &= !owner.closing() && channel.isWritable() && (length >= 0 || !old);
        if (length >= 0) {
            HttpUtil.setContentLength(response, length);
        } else if (!old) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        channel.write(response);
        since = owner.engine().now();
        return this;
    }

    @Override
    public void part(ByteBuf bytes) {
        rest -= rest > 0 ? bytes.readableBytes() : 0;
        channel.writeAndFlush(new DefaultHttpContent(bytes.retainedDuplicate()));
        if (!channel.isWritable() && passing != null) {
            since = owner.engine().now();
            passing.pause(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (passing != null && channel.isWritable()) {
            since = owner.engine().now();
            passing.pause(false);
        }
    }

    @Override
    public void completed() {
        passing = null;
        end(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void aborted() {
        passing = null;
        enter(State.CLOSING);
        channel.close(); // the length or the last chunk is missing, and so the client can tell
    }

    @Override
    public void refused(long retryAfterMicros) {
        owner.counted("refused");
        FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMicros > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Seconds.of(retryAfterMicros));
        }
        write(response);
    }

    @Override
    public void failed() {
        answer(HttpResponseStatus.BAD_GATEWAY);
    }

    private void answer(HttpResponseStatus status) {
        owner.counted(status.codeAsText().toString());
        write(empty(status));
    }

    private static FullHttpResponse empty(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    private void write(FullHttpResponse response) {
        exchange = null;
        concluded(response.status());
        // What it does not read must not pile up here.
        keepAlive &= !owner.closing() && channel.isWritable();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        end(response);
    }

    private void concluded(HttpResponseStatus status) {
        if (requestClass >= 0) {
            owner.answered(requestClass, status);
            requestClass = -1;
        }
    }

    private void end(Object last) {
        enter(keepAlive ? State.IDLE : State.CLOSING);
        channel.writeAndFlush(last)
                .addListener(
                        keepAlive
                                ? ChannelFutureListener.CLOSE_ON_FAILURE
                                : turnedAway ? PART : ChannelFutureListener.CLOSE);
        owner.idle(this, turnedAway);
    }

    // ---- limits

    /** Ends what has been under way for too long; a taken request has its own limit. */
    void checkTime(long now) {
        long age = now - since;
        switch (state) {
            case BUSY -> {
                if (passing != null && !channel.isWritable() && age > STALLED_MICROS) {
                    channel.close(); // it reads nothing of its answer
                }
            }
            case READING -> {
                boolean waits = body != null && body.waits;
                long took = body == null ? age : now - bodySince - receivedTime();
                if (took > WHOLE_MICROS && !waits) {
                    turnAway(HttpResponseStatus.REQUEST_TIMEOUT, false);
                }
            }
            case IDLE -> {
                if (age > IDLE_MICROS) {
                    closeIfFree();
                }
            }
            default -> {
                if (age > (wasLong && takes(now) ? STALLED_MICROS : WHOLE_MICROS)) {
                    channel.close(); // silent from the start, or it reads nothing of its last answer
                }
            }
        }
    }

    /** Whether something that was written is still in this process's hands; each bit that leaves starts the time anew. */
    private boolean takes(long now) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        long left = out == null ? 0 : out.totalPendingWriteBytes();
        if (left != unsent) {
            unsent = left;
            since = now;
        }
        return left > 0;
    }

    /** Whether it is being sent an answer too long to be kept. */
    boolean passing() {
        return passing != null;
    }

    /** How many bytes of that its node has still to give; negative where that is not known. */
    long rest() {
        return rest;
    }

    /**
     * Lets the system hold so much for this client, and more than it would by itself, so that what it has not read yet
     * outlives this process.
     *
     * @param bytes what to ask for; the system grants up to its own bound, and twice the number for its own records
     */
    void sendBuffer(int bytes) {
        channel.config().setOption(ChannelOption.SO_SNDBUF, bytes);
        Transport.flush(channel);
    }

    /** Whether it has earned less than others: it has said nothing whole so far, or was turned away last. */
    boolean dispensable(long now) {
        boolean asked = state == State.IDLE && !turnedAway;
        return state != State.BUSY && !asked && now - since > SILENT_MICROS;
    }

    /** Whether nothing of a request has come on it, and it would not be missed. */
    boolean vacant(long now) {
        return state == State.IDLE || state == State.NEW && now - since > SILENT_MICROS;
    }

    /** Closes between requests, when what was answered before is written out. */
    boolean closeIfFree() {
        if (state == State.BUSY) {
            return false;
        }
        owner.counted(state + ">room");
        enter(State.CLOSING);
        dropRequest();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        return true;
    }

    String state() {
        return state.name();
    }

    /** Whether a request has just begun to come, or its body is coming, which must not be cut off to make room. */
    boolean reading(long now) {
        return state == State.READING && (body != null || now - since <= SILENT_MICROS);
    }

    boolean idle() {
        return state == State.IDLE;
    }
}
