package gorsemast.http;

import anisebend.Balancer.Code;
import anisebend.Balancer.Note;
import gorsemast.pool.Pools;
import gorsemast.pool.Pools.Room;
import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Connections to the cache nodes and the attempts on them: one request a connection at a time, written at
 * most once, and exactly one ending for each attempt. It never sends anything again by itself.
 */
public final class Upstream {
    /** An answer is kept whole up to here, so that it can be had elsewhere if it breaks; a longer one is passed on. */
    public static final int MAX_KEPT = 64 << 10;
    /** A longer answer breaks the protocol and ends the connection. */
    static final long MAX_ANSWER = 64L << 20;
    /** A node that sends nothing more of an answer that is being passed on, for this long, has broken it off. */
    private static final long STALLED_MICROS = 10_000_000;
    /** StoredVersion connections are closed at this part of the cache nodes' own limit, so as never to race it. */
    private static final int IDLE_PART = 2;
    /**
     * A request that may not be repeated keeps its last byte back for the time that its connection took to come up,
     * a round trip at least, within these bounds. A break before it shows that it never ran: the node had closed the
     * kept connection, had died, or let nobody in. Covers whatever ends connections unseen, proxies and address
     * translation on the way too. Costs so much of each such request, and an early answer to half a request is lost.
     */
    private static final long LEAST_HOLD_MICROS = 2_000;

    private static final long MOST_HOLD_MICROS = 20_000;
    /** An attempt that has waited for a connection for this part of its time goes back to whoever chose the node. */
    private static final int WAITING_PART = 2;
    /** So many 1xx may come ahead of an answer; an endless row of them is none. */
    private static final int MAX_INTERIM = 16;

    /** Whom an attempt goes to. */
    public interface Peer {
        /** What its connections are kept under; another life of a server has another. */
        String host();

        /** Where it is dialled. */
        InetSocketAddress dial();
    }

    /** What the two sides say to each other above HTTP. */
    public interface Dialect {
        /** What an answer says of its attempt. */
        Code code(HttpResponse answer);

        /** What it says of other fetches. */
        default Note note(HttpResponse answer) {
            return Note.NONE;
        }

        /** Whether it answers this request, and not one that was asked on the connection before. */
        default boolean answers(HttpRequest request, HttpResponse answer) {
            return true;
        }
    }

    /** What cache nodes in service speak. */
    public static final Dialect IN_SERVICE = new Dialect() {
        @Override
        public Code code(HttpResponse answer) {
            int status = answer.status().code();
            boolean turnedAway = (status == 503 || status == 504)
                    && "1".equals(answer.headers().get("X-Unprocessed"));
            return status == 200 ? Code.OK : turnedAway ? Code.FULL : Code.ERROR;
        }

        @Override
        public Note note(HttpResponse answer) {
            String word = answer.headers().get("X-Lookup");
            return word == null
                    ? Note.NONE
                    : switch (word) {
                        case "hit" -> Note.HIT;
                        case "miss" -> Note.MISS;
                        case "pending" -> Note.MISS_FETCHING;
                        default -> Note.NONE;
                    };
        }
    };

    /** Told once how an attempt ended; {@code answer} is there where one came whole, and is released afterwards. */
    public interface Ending {
        void ended(Code code, Note note, FullHttpResponse answer);

        /**
         * Instead: the answer is too long to be kept and is passed on from here. Null where nobody wants it.
         *
         * @param length its bytes, -1 where they are not known ahead
         */
        default Passage begins(Note note, HttpResponse head, long length, Passage.Flow flow) {
            return null;
        }
    }

    /** Whether a cache node, as last started, may be sent anything new. */
    public interface Readiness {
        boolean ready(Peer node);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Readiness readiness;
    private final Dialect dialect;
    private final Pools pools;
    private final long idleMillis;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    /** Attempts that wait for a connection, in the order in which they came; some may have ended meanwhile. */
    private final Map<String, Deque<Attempt>> waiting = new HashMap<>();

    private final Map<String, Traffic> traffic = new HashMap<>();
    private long stalledMicros = STALLED_MICROS;
    /** Attempts whose last byte the system has taken, since the start. */
    private long attemptsWritten;

    /**
     * Connections to peers, for one event loop.
     *
     * @param readiness whether a peer may be sent anything new
     * @param maxConnections open or coming up at a time
     * @param idleMillis after how long the peers close what is idle
     */
    public Upstream(
            EventLoop loop,
            Dialect dialect,
            Readiness readiness,
            int maxConnections,
            long idleMillis,
            long connectMillis,
            long seed) {
        this.loop = loop;
        this.dialect = dialect;
        this.readiness = readiness;
        this.pools = new Pools(maxConnections, new SplittableRandom(seed));
        this.idleMillis = idleMillis / IDLE_PART;
        this.bootstrap = client(loop, connectMillis);
    }

    /** After how long a node has broken off an answer that is being passed on; asked for before anything is sent. */
    public Upstream stalledAfter(long micros) {
        stalledMicros = micros;
        return this;
    }

    public long attemptsWritten() {
        return attemptsWritten;
    }

    /** What passed on the sockets to a node; null where nothing did. */
    public Traffic traffic(String host) {
        return traffic.get(host);
    }

    /** Drops the counts of a node that has gone. */
    public void forget(String host) {
        traffic.remove(host);
        pools.forget(host);
    }

    /** Changes the bound on connections; those above it go as they fall idle. */
    public void limit(int connectionsAtMost) {
        pools.limit(connectionsAtMost);
    }

    /** Bounds the connections to one peer, where many processes share what it lets in. */
    public void part(String host, int connections) {
        pools.part(host, connections);
    }

    /** What all outgoing connections have in common. */
    public static Bootstrap client(EventLoop loop, long connectMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis);
    }

    /**
     * Starts an attempt that is given up {@code waitMicros} from now; takes over the request's reference. One that
     * runs {@code once} at most is written with care, so that a dead connection seldom leaves open whether it ran.
     */
    public Attempt send(Peer node, FullHttpRequest request, long waitMicros, boolean once, Ending ending) {
        return send(node, request, waitMicros, once, MAX_KEPT, ending);
    }

    /** The same, with an answer of up to {@code kept} bytes kept whole. */
    public Attempt send(Peer node, FullHttpRequest request, long waitMicros, boolean once, int kept, Ending ending) {
        Attempt attempt = new Attempt(node, request, once, kept, ending);
        attempt.limit = loop.schedule(attempt::expire, Math.max(0, waitMicros), TimeUnit.MICROSECONDS);
        Connection connection = takeIdle(node.host());
        if (connection != null) {
            connection.carry(attempt);
        } else {
            waiting.computeIfAbsent(node.host(), host -> new ArrayDeque<>()).addLast(attempt);
            loop.schedule(attempt::tire, waitMicros / WAITING_PART, TimeUnit.MICROSECONDS);
            grow(node);
        }
        return attempt;
    }

    /**
     * Opens what the pool allows for those that wait; who can't have a connection is told so. One that fell idle as
     * another was coming up is taken first: where that other one fails, nothing else would tell who waits of it.
     */
    private void grow(Peer node) {
        while (idle.containsKey(node.host()) && waits(node.host()) > pools.opening(node.host())) {
            takeIdle(node.host()).carry(next(node.host()));
        }
        for (int waits = waits(node.host()); waits > 0; waits = waits(node.host())) {
            Room room = pools.room(now(), node.host(), waits);
            if (room == Room.NONE && !closeOneIdle()) {
                Attempt next = next(node.host());
                next.passed.noRoom++;
                next.end(Code.NOT_SENT, Note.NONE, null); // our own bound says nothing of the node
            } else if (room == Room.WAIT) {
                long trial = pools.trialAt(node.host()) - now();
                if (trial > 0) {
                    loop.schedule(() -> grow(node), trial, TimeUnit.MICROSECONDS);
                }
                return;
            } else {
                new Connection(node).open();
            }
        }
    }

    /** The longest idle one, null where none is: what a node sends behind an answer has had most time to close it. */
    private Connection takeIdle(String host) {
        Deque<Connection> kept = idle.get(host);
        Connection connection = kept == null ? null : kept.pollFirst();
        if (kept != null && kept.isEmpty()) {
            idle.remove(host);
        }
        return connection;
    }

    private int waits(String host) {
        Deque<Attempt> row = waiting.get(host);
        if (row == null) {
            return 0;
        }
        row.removeIf(attempt -> attempt.ended);
        if (row.isEmpty()) {
            waiting.remove(host);
        }
        return row.size();
    }

    /** Takes out whoever has waited longest; null where nobody does. */
    private Attempt next(String host) {
        return waits(host) == 0 ? null : waiting.get(host).pollFirst();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Closes the kept connections to a cache node; attempts that are out go on, those that wait in vain end. */
    public void closeIdle(String host) {
        Deque<Connection> kept = idle.remove(host);
        if (kept != null) {
            kept.forEach(Connection::close);
        }
        Deque<Attempt> row = waiting.get(host);
        if (row != null) {
            List.copyOf(row).stream()
                    .filter(attempt -> !readiness.ready(attempt.node))
                    .forEach(Attempt::cancel);
        }
    }

    public void closeAllIdle() {
        List.copyOf(idle.keySet()).forEach(this::closeIdle);
    }

    /** At the bound the node with most idle connections gives one up for what is needed now. */
    private boolean closeOneIdle() {
        String host = pools.crowded();
        Deque<Connection> kept = host == null ? null : idle.get(host);
        if (kept == null) {
            return false;
        }
        kept.getFirst().close(); // takes it out, and an empty row too
        return true;
    }

    /** One attempt: not written yet, written, or ended. */
    public final class Attempt {
        private final Peer node;
        private final FullHttpRequest request;
        private final boolean once;
        /** Up to how many bytes its answer is kept whole. */
        private final int most;

        private final Ending ending;
        private ScheduledFuture<?> limit;
        private Connection connection;
        /** Its last byte has been handed to the socket: from here on only an answer can say that it has not run. */
        private boolean written;
        /** The request's reference has gone to the connection. */
        private boolean handedOver;

        private boolean ended;
        private final Traffic passed;
        private final long begunNanos = System.nanoTime();

        Attempt(Peer node, FullHttpRequest request, boolean once, int most, Ending ending) {
            this.node = node;
            this.most = most;
            this.passed = traffic.computeIfAbsent(node.host(), host -> new Traffic());
            this.request = request;
            this.once = once;
            this.ending = ending;
        }

        /** Gives it up. What was never written has never run, so it can be told apart from what might have. */
        public void cancel() {
            end(written ? Code.CANCELLED : Code.NOT_SENT, Note.NONE, null);
        }

        private void tire() {
            if (connection == null && pools.open(node.host()) > 0) {
                end(Code.NOT_SENT, Note.NONE, null);
            }
        }

        /** Waiting for a place at a node that has let others in says nothing of it. */
        private void expire() {
            end(
                    written
                            ? Code.TIMEOUT
                            : connection == null && pools.open(node.host()) > 0 ? Code.NOT_SENT : Code.CONNECT_FAILED,
                    Note.NONE,
                    null);
        }

        /** Its answer is too long to be kept: ends here, and the connection goes on. */
        private Passage begin(Note note, HttpResponse head, long length, Passage.Flow flow) {
            ended = true;
            passed.ended[Code.OK.ordinal()]++;
            passed.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begunNanos);
            limit.cancel(false);
            connection.attempt = null;
            return ending.begins(note, head, length, flow);
        }

        /** Only a whole answer frees the connection; every other ending closes it, before anything follows. */
        private void end(Code code, Note note, FullHttpResponse answer) {
            if (ended) {
                return;
            }
            ended = true;
            passed.ended[code.ordinal()]++;
            if (code == Code.OK) {
                passed.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begunNanos);
            }
            limit.cancel(false);
            if (connection != null) {
                connection.attempt = null;
                pools.given(node.host());
                if (answer != null && !connection.excess && HttpUtil.isKeepAlive(answer)) {
                    connection.keep();
                } else {
                    connection.close();
                }
            }
            if (!handedOver) {
                request.release();
            }
            ending.ended(code, note, answer);
        }
    }

    /** One connection; at most one attempt is on it. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Passage.Flow {
        private final Peer node;
        private Channel channel;
        private Attempt attempt;
        private ScheduledFuture<?> idleLimit;
        private long holdMicros;
        /** Whether it was kept after an answer: that it is dead then says nothing of the node. */
        private boolean kept;

        private final StrictHttp.Responses decoder = new StrictHttp.Responses();
        /** The head of the answer to the present attempt, until all that came with it has been read. */
        private HttpResponse head;
        /** What is kept of its body; owned here. */
        private ByteBuf body;
        /** Its bytes, -1 where they are not known ahead. */
        private long length;

        private long received;
        private boolean complete;
        /** Who takes an answer that is too long to be kept. */
        private Passage passage;

        private long lastPart;
        private boolean inInterim;
        /** Within an answer to another request, which is dropped. */
        private boolean surplus;

        private boolean excess;
        private int interim;
        private final Traffic passed;

        Connection(Peer node) {
            this.node = node;
            this.passed = traffic.computeIfAbsent(node.host(), host -> new Traffic());
        }

        void open() {
            passed.connects++;
            passed.opening++;
            pools.opening(now(), node.host());
            long begun = System.nanoTime();
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpRequestEncoder(), decoder, Connection.this);
                        }
                    })
                    .connect(node.dial());
            channel = connecting.channel();
            connecting.addListener(done -> {
                passed.opening--;
                if (!done.isSuccess()) {
                    // Also where no socket could be made: such a channel never reports that it is closed.
                    passed.connectsFailed++;
                    failed();
                    return;
                }
                passed.open++;
                pools.up(node.host());
                channel.closeFuture().addListener(closed -> {
                    passed.open--;
                    pools.closed(node.host());
                    lost();
                    if (readiness.ready(node) && pools.spare(now(), node.host())) {
                        new Connection(node).open();
                    }
                });
                long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begun);
                passed.connectMicros += took;
                holdMicros = Math.max(LEAST_HOLD_MICROS, Math.min(MOST_HOLD_MICROS, took));
                offer(0);
            });
        }

        /**
         * A connect that fails while others are open says that the node has no room for more: whoever waits goes on
         * waiting for one of these. Else one of them has met a node that is not there, and those for whom nothing is
         * coming up need not wait to meet it too.
         */
        private void failed() {
            if (pools.failed(now(), node.host())) {
                Attempt met = next(node.host());
                if (met != null) {
                    met.end(Code.CONNECT_FAILED, Note.NONE, null);
                }
                while (waits(node.host()) > pools.opening(node.host())) {
                    next(node.host()).end(Code.NOT_SENT, Note.NONE, null);
                }
            }
            grow(node);
        }

        void carry(Attempt next) {
            if (idleLimit != null) {
                idleLimit.cancel(false);
                idleLimit = null;
            }
            attempt = next;
            next.connection = this;
            pools.taken(now(), node.host());
            interim = 0;
            // The node may have begun to drain while the connection came up: the drain grace counts from the
            // first byte sent, and what is withheld has never run.
            if (!readiness.ready(node)) {
                next.end(Code.NOT_SENT, Note.NONE, null);
                return;
            }
            next.handedOver = true;
            if (next.once && next.request.content().isReadable()
                    || next.request.content().readableBytes() > BodyBuffer.BLOCK) {
                writeInParts(next);
            } else {
                next.written = true;
                finish(next, next.request);
            }
        }

        /**
         * A long body goes out as a row of parts: written as one, all of it would be copied for the socket at once. It is
         * not written before its last part is, which the node's pace decides; a break until then shows that it never ran.
         */
        private void writeInParts(Attempt next) {
            FullHttpRequest whole = next.request;
            ByteBuf content = whole.content();
            channel.write(
                    new DefaultHttpRequest(whole.protocolVersion(), whole.method(), whole.uri(), whole.headers()));
            while (content.readableBytes() > BodyBuffer.BLOCK) {
                channel.write(new DefaultHttpContent(content.readRetainedSlice(BodyBuffer.BLOCK)));
            }
            if (!next.once) {
                finish(next, new DefaultLastHttpContent(content));
                return;
            }
            ByteBuf most = content.readRetainedSlice(content.readableBytes() - 1);
            channel.writeAndFlush(new DefaultHttpContent(most)).addListener(done -> {
                if (!done.isSuccess()) {
                    content.release();
                    if (attempt == next) {
                        next.end(unsent(), Note.NONE, null);
                    }
                    return;
                }
                loop.schedule(
                        () -> {
                            if (attempt == next) {
                                finish(next, new DefaultLastHttpContent(content));
                            } else {
                                content.release();
                            }
                        },
                        holdMicros,
                        TimeUnit.MICROSECONDS);
            });
        }

        /** Writes what is left; an answer is read only behind the end of that, on the same thread. */
        private void finish(Attempt next, Object rest) {
            channel.writeAndFlush(rest).addListener(done -> {
                attemptsWritten += done.isSuccess() ? 1 : 0;
                next.written = done.isSuccess();
                if (!done.isSuccess() && attempt == next) {
                    // The last byte never left, so a server can't have begun it.
                    next.end(unsent(), Note.NONE, null);
                }
            });
        }

        private Code unsent() {
            return kept ? Code.NOT_SENT : Code.CONNECT_FAILED;
        }

        /**
         * Free for the next attempt. One that waits has it, unless another connection is coming up for it: a node that
         * closes behind its answer is given the time to show it.
         */
        void keep() {
            kept = true;
            offer(pools.opening(node.host()));
        }

        /** Takes on who waits, if it is more than so many others will. */
        private void offer(int others) {
            if (!channel.isActive() || !readiness.ready(node)) {
                close();
                if (!readiness.ready(node)) {
                    closeIdle(node.host()); // and ends those that wait for it
                }
                grow(node);
                return;
            }
            if (waits(node.host()) > others) {
                carry(next(node.host()));
                return;
            }
            kept = true;
            idle.computeIfAbsent(node.host(), host -> new ArrayDeque<>()).addLast(this);
            idleLimit = loop.schedule(this::close, idleMillis, TimeUnit.MILLISECONDS);
        }

        void close() {
            Deque<Connection> kept = idle.get(node.host());
            if (kept != null && kept.remove(this) && kept.isEmpty()) {
                idle.remove(node.host()); // ids of nodes that have gone never come back
            }
            if (idleLimit != null) {
                idleLimit.cancel(false);
            }
            channel.close();
        }

        private void lost() {
            Attempt out = attempt;
            if (complete) {
                excess = true;
                conclude();
            }
            close();
            clear();
            if (passage != null) {
                Passage cut = passage;
                passage = null;
                pools.given(node.host());
                cut.broken();
            }
            if (out != null) {
                out.end(out.written ? Code.RESET : unsent(), Note.NONE, null);
            }
        }

        private void clear() {
            if (body != null) {
                body.release();
                body = null;
            }
            head = null;
            complete = false;
            received = 0;
        }

        /**
         * Takes an answer, which ends its attempt only when the read is done: a second copy or noise may
         * follow at once, and would answer whatever is sent on this connection next.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse start) {
                begin(start);
            }
            if (message instanceof HttpContent part) {
                add(part);
            }
        }

        private void begin(HttpResponse start) {
            if (head != null) {
                excess = true;
                return;
            }
            // An answer to nothing, or no HTTP. One that only the connection's end would mark as whole comes to its
            // end after closeFuture, when its attempt has ended as a reset: it might have been cut anywhere.
            boolean early = attempt != null && !attempt.written && dialect.code(start) != Code.OK;
            excess |= early; // turned away before all of it was read: the rest of it can't be called back
            if (attempt == null
                    || !attempt.written && !early
                    || start.decoderResult().isFailure()
                    || start.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                lost();
                return;
            }
            if (!dialect.answers(attempt.request, start)) {
                // A late second answer to what was asked before: ours is still to come, and nothing follows it here.
                surplus = true;
                excess = true;
                return;
            }
            inInterim = start.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (inInterim) {
                if (++interim > MAX_INTERIM) {
                    lost();
                }
                return;
            }
            head = start;
            length = HttpUtil.getContentLength(start, -1L);
            if (length > MAX_ANSWER) {
                lost();
            }
        }

        private void add(HttpContent part) {
            if (inInterim) {
                inInterim = !(part instanceof LastHttpContent);
                return;
            }
            if (surplus) {
                surplus = !(part instanceof LastHttpContent);
                if (part.decoderResult().isFailure()) {
                    lost();
                }
                return;
            }
            if (head == null || complete) {
                excess = true;
                return;
            }
            ByteBuf bytes = part.content();
            received += bytes.readableBytes();
            if (part.decoderResult().isFailure() || received > MAX_ANSWER) {
                lost();
                return;
            }
            // Not before its first byte: until then the whole of it can be had elsewhere if this one breaks.
            int most = attempt == null ? MAX_KEPT : attempt.most;
            boolean tooLong = received > most || length > most && bytes.isReadable();
            boolean framed = length >= 0 || HttpUtil.isTransferEncodingChunked(head);
            if (passage == null && tooLong && !(framed && pass())) {
                lost(); // no answer of ours, or one whose end could not be told from a cut, or nobody wants it any more
                return;
            }
            if (passage != null) {
                lastPart = now();
                if (bytes.isReadable()) {
                    passage.part(bytes);
                }
            } else if (bytes.isReadable()) {
                body = body == null ? channel.alloc().heapBuffer(bytes.readableBytes()) : body;
                body.writeBytes(bytes);
            }
            if (part instanceof LastHttpContent && head != null) { // its taker may have left within this part
                complete = true;
                if (passage != null) {
                    Passage over = passage;
                    passage = null;
                    pools.given(node.host());
                    over.ended();
                }
            }
        }

        /** Passes the answer on from here, where it is one and somebody wants it. */
        private boolean pass() {
            if (dialect.code(head) != Code.OK || attempt == null) {
                return false;
            }
            passage = attempt.begin(dialect.note(head), head, length, this);
            if (passage == null) {
                pools.given(node.host());
                return false;
            }
            lastPart = now();
            watch();
            if (body != null) {
                passage.part(body);
                body.release();
                body = null;
            }
            return true;
        }

        private void watch() {
            loop.schedule(
                    () -> {
                        if (passage != null && channel.config().isAutoRead() && now() - lastPart > stalledMicros) {
                            lost();
                        } else if (passage != null) {
                            watch();
                        }
                    },
                    stalledMicros / 2,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void pause(boolean paused) {
            lastPart = now();
            channel.config().setAutoRead(!paused);
        }

        @Override
        public void cancel() {
            if (passage != null) {
                passage = null;
                pools.given(node.host());
                close();
                clear();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (complete) {
                excess |= !decoder.empty();
                conclude();
            }
        }

        private void conclude() {
            HttpResponse start = head;
            FullHttpResponse answer = new DefaultFullHttpResponse(
                    start.protocolVersion(),
                    start.status(),
                    body == null ? Unpooled.EMPTY_BUFFER : body,
                    start.headers(),
                    EmptyHttpHeaders.INSTANCE);
            body = null;
            clear();
            try {
                if (attempt != null) {
                    attempt.end(dialect.code(answer), dialect.note(answer), answer);
                } else if (excess || !HttpUtil.isKeepAlive(answer)) {
                    close(); // it was passed on
                } else {
                    channel.config().setAutoRead(true);
                    keep();
                }
            } finally {
                answer.release();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            lost();
        }
    }
}
