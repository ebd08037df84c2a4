package anisebend.net;

import anisebend.Balancer;
import gorsemast.admin.AdminListener;
import gorsemast.admission.ConnectionAdmission;
import gorsemast.admission.LoadShedder;
import gorsemast.http.NettyLog;
import gorsemast.http.Signals;
import gorsemast.http.StrictHttp;
import gorsemast.lifecycle.Lifecycle;
import gorsemast.lifecycle.Lifecycle.Phase;
import gorsemast.observe.Counters;
import gorsemast.retention.BodyBudget;
import gorsemast.retention.SendBufferHandoff;
import gorsemast.transport.Transport;
import gorsemast.upgrade.Generations;
import gorsemast.upgrade.Succession;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The clients' side of the proxy: it listens, checks requests, hands them to the {@link Engine} and writes
 * each one's answer; and it ends in good order. One thread does all the work of the process.
 */
public final class ProxyServer implements ClientConnection.Owner, AdminListener.Calls {
    private static final int BACKLOG = 1024;
    /** Parts of the descriptors for either side; the rest is for the JVM, discovery and sockets on their way out. */
    private static final double CLIENT_PART = 0.4;

    private static final double UPSTREAM_PART = 0.4;
    /**
     * This part of the heap is for long bodies; with the flags in deploy/balancer.toml the longest fits in it once, and
     * what else is alive (10 to 15 MB) beside it.
     */
    private static final double BODY_PART = 0.45;
    /** So many at most come in beyond the bound before it is seen. */
    private static final int ACCEPTED_AT_ONCE = 4;

    private static final int MAX_READ = 16 << 10;
    private static final long SWEEP_MILLIS = 100;
    /**
     * So long before the end of a drain connections begin to close: what is usual has its answer by then, the rest
     * fails. Whatever time is left over here is one in which clients have this proxy: at a rolling restart the next
     * one stops before the first is back. Also covers slow starts and front ends that are late to see a stop. Could
     * hurt where answers usually take longer than this.
     */
    private static final long CLOSING_MILLIS = 150;
    /** SIGKILL comes 0.7 s after the longest deadline, of which at most 3 s count; all must be over before it. */
    private static final long LONGEST_MILLIS = 3_000;
    /** What the system is asked to hold for one client, and for all, when the process is about to end. */
    private static final int PARTING_EACH = 4 << 20;

    private static final long PARTING_MOST = 192L << 20;
    private static final long BEFORE_KILL_MILLIS = 130;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.handlers());
    private final EventLoop loop = group.next();
    private ProxyConfig config;
    private final Consumer<String> operator;
    private final Engine engine;
    private final Map<String, String> env;
    private final ConnectionAdmission<ClientConnection> door;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private BodyBudget<ClientConnection.Body> bodies =
            new BodyBudget<>((long) (Runtime.getRuntime().maxMemory() * BODY_PART));
    private final SendBufferHandoff<ClientConnection> parting = new SendBufferHandoff<>(PARTING_MOST, PARTING_EACH);
    private final Map<String, Long> events = new TreeMap<>();
    private final LoadShedder shedder;
    private final SplittableRandom random;
    private long worstLate;
    private boolean tracing;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile long drainMillis;
    private Channel listener;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Counters counters = new Counters();
    private long reloadsTaken;
    private long reloadsTurnedDown;
    /** Null where there is no second address. */
    private AdminListener admin;
    /**
     * Who else of this proxy's processes is there; null where no other can be. It is known from the beginning, as SIGTERM
     * may come before this one has begun.
     */
    private final Succession succession;
    /** See {@link #sendBuffers}; negative until it is known. */
    private int granted = -1;
    /** How many processes share what this proxy may hold. */
    private int processes = 1;
    /** There while the code is warmed up; until that is over it is not ready. */
    private Warmup warmup;
    /** None on the platform. */
    private final List<Part> parts = new ArrayList<>(0);

    private ProxyServer(ProxyConfig config, Map<String, String> env, Consumer<String> operator) {
        this.config = config;
        this.operator = operator;
        this.env = env;
        this.door = new ConnectionAdmission<>(part(config.sockets(), CLIENT_PART));
        this.engine = new Engine(loop, config, part(config.sockets(), UPSTREAM_PART), operator);
        this.random = new SplittableRandom(config.seed());
        this.shedder = new LoadShedder(
                new double[0],
                config.settings().tenants().stream()
                        .mapToDouble(Balancer.Tenant::share)
                        .toArray());
        this.succession = succession();
        take(config);
    }

    /** What of a configuration is this class's to keep. */
    private void take(ProxyConfig taken) {
        config = taken;
        taken.classes().names().forEach(counters::list);
        shedder.setClasses(taken.settings().classes().stream()
                .mapToDouble(Balancer.RequestClass::importance)
                .toArray());
        long longest = taken.classes().names().stream()
                .mapToInt(taken.classes()::number)
                .mapToLong(number -> taken.classes().rules().get(number).deadline() / 1000)
                .max()
                .orElse(0);
        drainMillis = Math.max(CLOSING_MILLIS, Math.min(LONGEST_MILLIS, longest) + 700 - BEFORE_KILL_MILLIS);
    }

    private static int part(int sockets, double part) {
        return Math.max(1, (int) (sockets * part));
    }

    /** While old and new processes are there, all together may hold no more than one. */
    private void bound() {
        int mine = config.sockets() / processes;
        door.setCapacity(part(mine, CLIENT_PART));
        engine.limit(part(mine, UPSTREAM_PART));
    }

    /** Looks who else is there, tells the others what this one does, and shares with them. */
    private void share() {
        if (succession == null) {
            return;
        }
        succession.tell(
                switch (lifecycle.phase()) {
                    case STARTING -> Generations.Standing.STARTING;
                    case SERVING -> Generations.Standing.SERVING;
                    case EMPTYING -> Generations.Standing.EMPTIED;
                    case HANDING_OVER, STOPPING -> Generations.Standing.LEAVING;
                });
        succession.look();
        Generations generations = succession.generations();
        if (generations.processes() != processes) {
            processes = generations.processes();
            bound();
        }
        if (lifecycle.phase() == Phase.STOPPING && generations.succeeded()) {
            lifecycle.successorStarted(engine.now());
            operator.accept("a successor takes clients: " + lifecycle.phase());
            leave();
        }
        checkDrained();
    }

    /** A proxy as the platform's variables say; throws what is wrong with them as one plain line. */
    public static ProxyServer of(Map<String, String> env) throws IOException {
        NettyLog.install();
        return of(env, System.err::println);
    }

    /** The same, with lines for the operator going there; Netty's own log is the caller's to set up. */
    public static ProxyServer of(Map<String, String> env, Consumer<String> operator) throws IOException {
        return new ProxyServer(ProxyConfig.load(env), env, operator);
    }

    /** The proxy's name, as the platform tells it. */
    public String name() {
        return config.name();
    }

    /** Room for long bodies in bytes, where it is not to follow the heap; asked for before it starts. */
    ProxyServer bodies(long most) {
        bodies = new BodyBudget<>(most);
        return this;
    }

    /** Writes what it does and believes each period, for whoever looks for a cause; asked for before it starts. */
    public ProxyServer trace(long periodMillis) {
        tracing = true;
        Trace trace = new Trace(engine, operator);
        loop.scheduleAtFixedRate(
                () -> {
                    clients.forEach(c -> counted("now:" + c.state()));
                    trace.line(
                            worstLate,
                            clients.size() + " " + events + " accepts=" + door.hasCapacity() + " shed="
                                    + shedder.level());
                    events.clear();
                    worstLate = 0;
                },
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
        return this;
    }

    /** How many proxies share the service, as the platform's settings say. */
    public int proxies() {
        return config.settings().balancers();
    }

    /** Lets a part of the product run beside it, from its start on; asked for before it starts. */
    public ProxyServer with(Part part) {
        parts.add(part);
        return this;
    }

    private final class Hosting implements Part.Host {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public LongSupplier clock() {
            return engine::now;
        }

        @Override
        public void log(String text) {
            operator.accept(text);
        }

        @Override
        public long listVersion() {
            return engine.discovery().version();
        }

        @Override
        public boolean listed() {
            return engine.discovery().listed();
        }

        @Override
        public long listAge() {
            return engine.discovery().age();
        }

        @Override
        public Map<String, Map<String, Object>> list() {
            return engine.discovery().told();
        }

        @Override
        public void learn(byte[] list) throws IOException {
            engine.discovery().learn(ProxyConfig.parse(list));
        }

        @Override
        public InetSocketAddress admin() {
            return config.admin();
        }

        @Override
        public void sharedBy(int proxies) {
            engine.sharedBy(proxies);
        }
    }

    private void startParts() throws IOException {
        if (!parts.isEmpty()) {
            engine.discovery().retain();
        }
        for (Part part : parts) {
            part.start(new Hosting());
        }
    }

    /**
     * Begins to serve, and says that it is ready when its code is warm. With a second address it warms up there and
     * listens for clients only then: during an upgrade another process has them.
     */
    public ProxyServer startWarm() throws IOException {
        startParts();
        if (config.admin() == null) {
            begin(this::listen);
            loop.execute(() -> warmUp(address(), lifecycle::started));
        } else {
            begin(this::listenForCalls);
            loop.execute(() -> warmUp((InetSocketAddress) admin.address(), () -> listen().addListener(bound -> {
                if (bound.isSuccess()) {
                    lifecycle.started();
                    share();
                } else {
                    operator.accept("anisebend: " + bound.cause().getMessage());
                    Runtime.getRuntime().halt(1); // nobody could ever reach it
                }
            })));
        }
        return this;
    }

    private void warmUp(InetSocketAddress self, Runnable then) {
        boolean hurried = !config.begins()
                && (succession == null || !succession.generations().hasPredecessor());
        warmup = new Warmup(loop, config, self, hurried, () -> {
            warmup = null;
            then.run();
        });
        warmup.start();
    }

    /** Null where no other process can be known; then the end of this one is a restart. */
    private Succession succession() {
        String folder = env.get("TMPDIR");
        if (config.admin() == null || folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new Succession(Path.of(folder, "gorsemast-" + config.name()));
        } catch (IOException | RuntimeException e) {
            operator.accept("knows of no other process: " + e);
            return null;
        }
    }

    /** Begins to serve, cold. */
    public ProxyServer start() throws IOException {
        startParts();
        begin(() -> {
            if (config.admin() != null) {
                listenForCalls();
            }
            lifecycle.started();
            return listen();
        });
        return this;
    }

    private void begin(Supplier<ChannelFuture> listening) throws IOException {
        try {
            loop.submit(() -> {
                        engine.begin(config);
                        engine.watchLateness(late -> {
                            worstLate = Math.max(worstLate, late);
                            shedder.recordLateness(engine.now(), late);
                        });
                        share();
                        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
                        return listening.get();
                    })
                    .get()
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private ChannelFuture listenForCalls() {
        admin = new AdminListener(this, ch -> {
            if (warmup == null) {
                return false;
            }
            StrictHttp.Requests decoder = new StrictHttp.Requests();
            ch.pipeline().addLast(decoder, new HttpResponseEncoder(), warmup.new Gate(decoder, null));
            return true;
        });
        return admin.listen(group, loop, config.admin());
    }

    @SuppressWarnings("deprecation") // of the option's name alone
    private ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(Transport.listener(loop))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(Transport.reusePort(loop), config.admin() != null)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE))
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 1024, MAX_READ))
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        StrictHttp.Requests decoder = new StrictHttp.Requests();
                        ClientConnection connection = new ClientConnection(ch, decoder, ProxyServer.this);
                        ch.pipeline().addLast(decoder, new HttpResponseEncoder());
                        if (warmup != null) {
                            ch.pipeline().addLast(warmup.new Gate(decoder, connection));
                        }
                        ch.pipeline().addLast(connection);
                    }
                })
                .bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** Where it listens, once it does. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Where it is asked and told what to do, once it listens there. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) admin.address();
    }

    /** What it is doing. */
    Phase phase() throws InterruptedException, ExecutionException {
        return loop.submit(lifecycle::phase).get();
    }

    /** Whether it has no client and holds no request. */
    boolean idle() throws InterruptedException, ExecutionException {
        return loop.submit(() -> clients.isEmpty() && engine.idle()).get();
    }

    /** Lets SIGHUP take over a configuration that has been replaced. */
    public void reloadOnHangup() {
        Signals.onHangup(this::reload);
    }

    /**
     * Reads the configuration anew and takes over what may change in service; a broken file changes nothing.
     * Signals that come close together are heard on threads of their own: one after another, the last read wins.
     */
    synchronized void reload() {
        try {
            ProxyConfig changed = ProxyConfig.reload(env);
            loop.execute(() -> {
                try {
                    ProxyConfig next = changed.after(config);
                    engine.reconfigure(next);
                    take(next);
                    bound();
                    reloadsTaken++;
                } catch (IOException | RuntimeException e) {
                    turnDown(e);
                }
            });
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> turnDown(e));
        }
    }

    private void turnDown(Exception e) {
        operator.accept("configuration kept as it was: " + e.getMessage());
        reloadsTurnedDown++;
    }

    /**
     * Drains and returns when nothing is held, or just before a SIGKILL may come. It goes on accepting for a while where
     * nobody else takes clients. Blocks; not to be called on the loop. Once.
     */
    public void drain() {
        loop.execute(this::beginDrain);
        try {
            drained.await(drainMillis + BEFORE_KILL_MILLIS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The one thread that does everything here. */
    EventLoop loop() {
        return loop;
    }

    /** Stops at once. */
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Where nobody else is there, serves on as ever for as long as a kill can't come, as clients whose connections
     * close could not come back; then ends each connection as soon as nothing is in hand on it, those included that
     * have never asked. With a successor that starts at once.
     */
    private void beginDrain() {
        long now = engine.now();
        if (succession != null) {
            succession.look();
        }
        lifecycle.terminate(
                now,
                succession != null && succession.generations().succeeded(),
                TimeUnit.MILLISECONDS.toMicros(drainMillis - CLOSING_MILLIS));
        operator.accept("drains for at most " + drainMillis + " ms: " + lifecycle.phase());
        if (lifecycle.phase() == Phase.STOPPING) {
            door.drain(now);
        }
        share();
        parts.forEach(Part::leave);
        loop.schedule(this::leave, Math.max(0, lifecycle.closingStartsAt() - now), TimeUnit.MICROSECONDS);
        loop.schedule(this::closeFree, drainMillis - CLOSING_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(engine::giveUpAll, drainMillis, TimeUnit.MILLISECONDS);
    }

    /** Lets nobody in any more; who waits to be let in still is, as the end of the listener would reset him. */
    private void leave() {
        if (listener != null) {
            ServerBacklog.close(listener);
        }
        if (lifecycle.phase() == Phase.STOPPING) {
            closeFree();
        }
        part();
        checkDrained();
    }

    /** Hands to the system what is left of long answers, as their clients may need longer than this process has. */
    private void part() {
        Map<ClientConnection, Long> rests = new LinkedHashMap<>();
        for (ClientConnection client : clients) {
            if (client.passing()) {
                rests.put(client, client.rest());
            }
        }
        if (!rests.isEmpty() && sendBuffers() > 0) {
            parting.select(rests).forEach(client -> client.sendBuffer(PARTING_EACH));
        }
    }

    /** How much the system lets one socket hold when it is asked to; where that is less than by itself, it isn't asked. */
    private int sendBuffers() {
        if (granted < 0) {
            try (SocketChannel probe = SocketChannel.open()) {
                probe.setOption(StandardSocketOptions.SO_SNDBUF, PARTING_EACH);
                int most = probe.getOption(StandardSocketOptions.SO_SNDBUF);
                granted = most >= PARTING_EACH ? most : 0;
            } catch (IOException e) {
                return 0; // no descriptor just now
            }
        }
        return granted;
    }

    private void closeFree() {
        long now = engine.now();
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.idle() || client.dispensable(now)) {
                client.closeIfFree();
            }
        }
    }

    /** Closes as many of the connections on which nothing is asked as are to go now, the longest known first. */
    private void sendAway(long now) {
        List<ClientConnection> vacant =
                clients.stream().filter(client -> client.vacant(now)).toList();
        int left = lifecycle.idleConnectionsToClose(now, vacant.size(), TimeUnit.MILLISECONDS.toMicros(SWEEP_MILLIS));
        vacant.subList(0, left).forEach(ClientConnection::closeIfFree);
    }

    /**
     * A process that is stopped beside one that came before it ends after that: whoever started them may take the end of
     * the latest for the end of the proxy, and kill the other while it has requests in hand.
     */
    private void checkDrained() {
        if (closing()
                && lifecycle.isEnding()
                && clients.isEmpty()
                && (succession == null || !succession.generations().hasPredecessor())) {
            drained.countDown();
        }
    }

    // ---- calls at the second address

    @Override
    public boolean health() {
        return lifecycle.ready();
    }

    @Override
    public String counters() {
        StringBuilder figures = new StringBuilder(1024);
        counters.write(figures);
        engine.figures(figures);
        parts.forEach(part -> part.figures(figures));
        Counters.counter(figures, "reloads_ok", reloadsTaken);
        Counters.counter(figures, "reloads_failed", reloadsTurnedDown);
        return figures.toString();
    }

    @Override
    public String other(String call) {
        for (Part part : parts) {
            String answer = part.call(call);
            if (answer != null) {
                return answer;
            }
        }
        return null;
    }

    @Override
    public boolean quiesce() {
        boolean does = lifecycle.quiesce(engine.now());
        share(); // whoever is to end must not count on this process
        return does;
    }

    @Override
    public boolean resume() {
        boolean does = lifecycle.resume();
        share();
        return does;
    }

    // ---- what the connections of clients have in common

    @Override
    public ProxyConfig config() {
        return config;
    }

    @Override
    public Engine engine() {
        return engine;
    }

    @Override
    public boolean ready() {
        return lifecycle.addressReady();
    }

    @Override
    public boolean closing() {
        return lifecycle.isClosing(engine.now());
    }

    @Override
    public BodyBudget<ClientConnection.Body> bodies() {
        return bodies;
    }

    @Override
    public void letGo(ClientConnection.Body body) {
        bodies.release(body).forEach(ClientConnection.Body::admitted);
    }

    @Override
    public void counted(String what) {
        if (tracing) {
            events.merge(what, 1L, Long::sum);
        }
    }

    @Override
    public void opened(ClientConnection connection) {
        counted("accepted");
        clients.add(connection);
        door.opened(engine.now(), connection);
        makeRoom();
    }

    @Override
    public long turnsAway(RequestHead head) {
        if (door.mustRefuseInDrain(engine.now(), shedder.isMostImportant(head.requestClass))) {
            counted("tight");
        } else if (shedder.shouldShed(head.requestClass, head.tenant, head.repeat, random.nextDouble())) {
            counted("shed");
        } else {
            return 0;
        }
        return shedder.retryAfterMicros(random.nextDouble());
    }

    @Override
    public void answered(int requestClass, HttpResponseStatus status) {
        counters.ended(
                config.classes().name(requestClass),
                status.code() == 200
                        ? Counters.End.SERVED
                        : status.code() == 503 || status.code() == 429 ? Counters.End.REFUSED : Counters.End.FAILED);
    }

    @Override
    public void asks(ClientConnection connection) {
        door.requestReceived(engine.now(), connection);
    }

    @Override
    public void closed(ClientConnection connection) {
        clients.remove(connection);
        parting.finished(connection);
        door.closed(connection);
        makeRoom();
        checkDrained();
    }

    @Override
    public void idle(ClientConnection connection, boolean turnedAway) {
        if (turnedAway) {
            door.rejected(engine.now(), connection);
        } else {
            door.responseSent(engine.now(), connection);
        }
        if (!listener.config().isAutoRead()) {
            makeRoom();
        }
    }

    private void sweep() {
        long now = engine.now();
        if (closing() && lifecycle.isEnding()) {
            part();
        }
        for (ClientConnection client : List.copyOf(clients)) {
            client.checkTime(now);
        }
        if (closing()) {
            if (lifecycle.phase() == Phase.STOPPING) {
                closeFree();
            } else {
                sendAway(now);
            }
        }
        share();
        parts.forEach(part -> part.sweep(lifecycle.phase()));
        if (listener != null && !listener.config().isAutoRead()) {
            makeRoom();
        }
    }

    /** Closes whom the door names, and lets more in only while it is open. */
    private void makeRoom() {
        if (listener == null || !listener.isOpen()) {
            return;
        }
        long now = engine.now();
        for (ClientConnection client : door.connectionsToClose(now)) {
            if (!client.reading(now)) {
                client.closeIfFree();
                door.closed(client); // it closes when what was answered is written out, and need not be named again
            }
        }
        listener.config().setAutoRead(door.hasCapacity());
    }
}
