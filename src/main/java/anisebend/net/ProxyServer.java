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
 * The proxy's client-facing server: accepts connections, validates requests, passes them to the {@link Engine}, writes
 * the responses, and shuts down gracefully. A single event loop does all the work of the process.
 */
public final class ProxyServer implements ClientConnection.Owner, AdminListener.Calls {
    private static final int LISTEN_BACKLOG = 1024;
    /** Share of the file descriptors for each side; the rest is for the JVM, discovery and sockets that are closing. */
    private static final double CLIENT_SOCKET_SHARE = 0.4;

    private static final double UPSTREAM_SOCKET_SHARE = 0.4;
    /**
     * Share of the heap for long bodies. With the flags in deploy/balancer.toml it holds the longest allowed body once,
     * and leaves room for the other live data (10 to 15 MB).
     */
    private static final double BODY_HEAP_SHARE = 0.45;
    /** Also bounds by how much the connections can exceed their limit before accepting is paused. */
    private static final int MAX_ACCEPTS_PER_READ = 4;

    private static final int MAX_READ_BYTES = 16 << 10;
    private static final long SWEEP_INTERVAL_MILLIS = 100;
    /**
     * How long before the end of a drain connections begin to close. Usual requests are answered within this time; the
     * others fail. It is short so that clients can use this proxy for longer: in a rolling restart the next proxy stops
     * before the first one is back. Serving until then also covers slow starts and front ends that notice a stop late.
     * It is too short where responses usually take longer than this.
     */
    private static final long CLOSING_LEAD_MILLIS = 150;
    /** SIGKILL comes 0.7 s after the longest deadline (at most 3 s of it count); everything must have ended before. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;
    /** Send buffer requested from the kernel for one client, and for all, when the process is about to end. */
    private static final int HANDOFF_BYTES_PER_CLIENT = 4 << 20;

    private static final long MAX_HANDOFF_BYTES = 192L << 20;
    private static final long KILL_MARGIN_MILLIS = 130;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.handlers());
    private final EventLoop loop = group.next();
    private ProxyConfig config;
    private final Consumer<String> operatorLog;
    private final Engine engine;
    private final Map<String, String> env;
    private final ConnectionAdmission<ClientConnection> admission;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private BodyBudget<ClientConnection.Body> bodyBudget =
            new BodyBudget<>((long) (Runtime.getRuntime().maxMemory() * BODY_HEAP_SHARE));
    private final SendBufferHandoff<ClientConnection> handoff =
            new SendBufferHandoff<>(MAX_HANDOFF_BYTES, HANDOFF_BYTES_PER_CLIENT);
    private final Map<String, Long> traceEvents = new TreeMap<>();
    private final LoadShedder shedder;
    private final SplittableRandom random;
    private long maxLatenessMicros;
    private boolean tracing;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile long drainMillis;
    private Channel listener;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Counters counters = new Counters();
    private long reloadsApplied;
    private long reloadsRejected;
    /** Null where no admin address is configured. */
    private AdminListener admin;
    /**
     * The other processes of this proxy; null where there can be none. Set from the start, as SIGTERM may arrive before
     * this process serves.
     */
    private final Succession succession;
    /** Result of {@link #sendBuffers}; negative until known. */
    private int grantedSendBuffer = -1;
    /** Number of processes that share this proxy's limits. */
    private int processCount = 1;
    /** Non-null during the warm-up, in which the proxy is not ready. */
    private Warmup warmup;
    /** Empty on the platform. */
    private final List<Part> parts = new ArrayList<>(0);

    private ProxyServer(ProxyConfig config, Map<String, String> env, Consumer<String> operator) {
        this.config = config;
        this.operatorLog = operator;
        this.env = env;
        this.admission = new ConnectionAdmission<>(socketShare(config.sockets(), CLIENT_SOCKET_SHARE));
        this.engine = new Engine(loop, config, socketShare(config.sockets(), UPSTREAM_SOCKET_SHARE), operator);
        this.random = new SplittableRandom(config.seed());
        this.shedder = new LoadShedder(
                new double[0],
                config.settings().tenants().stream()
                        .mapToDouble(Balancer.Tenant::share)
                        .toArray());
        this.succession = openSuccession();
        apply(config);
    }

    /** Applies the parts of a configuration that this class uses. */
    private void apply(ProxyConfig taken) {
        config = taken;
        taken.classes().names().forEach(counters::list);
        shedder.setClasses(taken.settings().classes().stream()
                .mapToDouble(Balancer.RequestClass::importance)
                .toArray());
        long longestDeadlineMillis = taken.classes().names().stream()
                .mapToInt(taken.classes()::number)
                .mapToLong(number -> taken.classes().rules().get(number).deadline() / 1000)
                .max()
                .orElse(0);
        drainMillis = Math.max(
                CLOSING_LEAD_MILLIS, Math.min(MAX_DEADLINE_MILLIS, longestDeadlineMillis) + 700 - KILL_MARGIN_MILLIS);
    }

    private static int socketShare(int sockets, double part) {
        return Math.max(1, (int) (sockets * part));
    }

    /** Divides the connection limits between the running processes: together they may hold no more than one alone. */
    private void updateLimits() {
        int ownSockets = config.sockets() / processCount;
        admission.setCapacity(socketShare(ownSockets, CLIENT_SOCKET_SHARE));
        engine.setConnectionLimit(socketShare(ownSockets, UPSTREAM_SOCKET_SHARE));
    }

    /** Publishes this process's phase, reads that of the others, and adapts the limits to their number. */
    private void syncWithOtherProcesses() {
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
        if (generations.processes() != processCount) {
            processCount = generations.processes();
            updateLimits();
        }
        if (lifecycle.phase() == Phase.STOPPING && generations.succeeded()) {
            lifecycle.successorStarted(engine.now());
            operatorLog.accept("successor process accepts clients, now in phase " + lifecycle.phase());
            stopAccepting();
        }
        checkDrained();
    }

    /** Creates a proxy from the environment; the exception's message names what is wrong in one line. */
    public static ProxyServer of(Map<String, String> env) throws IOException {
        NettyLog.install();
        return of(env, System.err::println);
    }

    /** Creates a proxy that logs to {@code operator}; the caller sets up Netty's own logging. */
    public static ProxyServer of(Map<String, String> env, Consumer<String> operator) throws IOException {
        return new ProxyServer(ProxyConfig.load(env), env, operator);
    }

    /** The proxy's name, as configured by the platform. */
    public String name() {
        return config.name();
    }

    /** Sets the budget for long bodies in bytes, instead of a share of the heap; to be called before the start. */
    ProxyServer bodies(long maxBytes) {
        bodyBudget = new BodyBudget<>(maxBytes);
        return this;
    }

    /** Logs a {@link Trace} line every period for troubleshooting; to be called before the start. */
    public ProxyServer trace(long periodMillis) {
        tracing = true;
        Trace trace = new Trace(engine, operatorLog);
        loop.scheduleAtFixedRate(
                () -> {
                    clients.forEach(client -> counted("now:" + client.state()));
                    trace.line(
                            maxLatenessMicros,
                            clients.size() + " " + traceEvents + " accepts=" + admission.hasCapacity() + " shed="
                                    + shedder.level());
                    traceEvents.clear();
                    maxLatenessMicros = 0;
                },
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
        return this;
    }

    /** The number of proxies that share the service, as configured. */
    public int proxies() {
        return config.settings().balancers();
    }

    /** Adds a part that starts and runs with the proxy; to be called before the start. */
    public ProxyServer with(Part part) {
        parts.add(part);
        return this;
    }

    private final class PartHost implements Part.Host {
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
            operatorLog.accept(text);
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
            return engine.discovery().entries();
        }

        @Override
        public void learn(byte[] list) throws IOException {
            engine.discovery().adopt(ProxyConfig.parse(list));
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
            engine.discovery().retainEntries();
        }
        for (Part part : parts) {
            part.start(new PartHost());
        }
    }

    /**
     * Starts the proxy and reports it ready once its code is warmed up. With an admin address it warms up there and
     * listens for clients only afterwards: during an upgrade another process serves them meanwhile.
     */
    public ProxyServer startWarm() throws IOException {
        startParts();
        if (config.admin() == null) {
            beginServing(this::listen);
            loop.execute(() -> warmUp(address(), lifecycle::started));
        } else {
            beginServing(this::listenForAdmin);
            loop.execute(() -> warmUp((InetSocketAddress) admin.address(), () -> listen().addListener(bound -> {
                if (bound.isSuccess()) {
                    lifecycle.started();
                    syncWithOtherProcesses();
                } else {
                    operatorLog.accept("anisebend: " + bound.cause().getMessage());
                    Runtime.getRuntime().halt(1); // no client could ever reach this process
                }
            })));
        }
        return this;
    }

    private void warmUp(InetSocketAddress self, Runnable then) {
        boolean urgent = !config.begins()
                && (succession == null || !succession.generations().hasPredecessor());
        warmup = new Warmup(loop, config, self, urgent, () -> {
            warmup = null;
            then.run();
        });
        warmup.start();
    }

    /** Null where other processes cannot be detected; the end of this one then counts as a restart. */
    private Succession openSuccession() {
        String directory = env.get("TMPDIR");
        if (config.admin() == null || directory == null || directory.isEmpty()) {
            return null;
        }
        try {
            return new Succession(Path.of(directory, "gorsemast-" + config.name()));
        } catch (IOException | RuntimeException e) {
            operatorLog.accept("cannot detect other processes of this proxy: " + e);
            return null;
        }
    }

    /** Starts the proxy without a warm-up. */
    public ProxyServer start() throws IOException {
        startParts();
        beginServing(() -> {
            if (config.admin() != null) {
                listenForAdmin();
            }
            lifecycle.started();
            return listen();
        });
        return this;
    }

    private void beginServing(Supplier<ChannelFuture> listening) throws IOException {
        try {
            loop.submit(() -> {
                        engine.begin(config);
                        engine.watchLateness(late -> {
                            maxLatenessMicros = Math.max(maxLatenessMicros, late);
                            shedder.recordLateness(engine.now(), late);
                        });
                        syncWithOtherProcesses();
                        loop.scheduleWithFixedDelay(
                                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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

    private ChannelFuture listenForAdmin() {
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

    @SuppressWarnings("deprecation") // only the option's name is deprecated
    private ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(Transport.listener(loop))
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(Transport.reusePort(loop), config.admin() != null)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 1024, MAX_READ_BYTES))
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

    /** The address on which it listens for clients; only once it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** The address for admin calls; only once it listens there. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) admin.address();
    }

    /** The current lifecycle phase. */
    Phase phase() throws InterruptedException, ExecutionException {
        return loop.submit(lifecycle::phase).get();
    }

    /** Whether there are no client connections and no requests. */
    boolean idle() throws InterruptedException, ExecutionException {
        return loop.submit(() -> clients.isEmpty() && engine.idle()).get();
    }

    /** Reloads the configuration on SIGHUP. */
    public void reloadOnHangup() {
        Signals.onHangup(this::reload);
    }

    /**
     * Reloads the configuration and applies what may change at runtime; an invalid file changes nothing. Signals in
     * quick succession are handled on separate threads, hence synchronized: the last file read wins.
     */
    synchronized void reload() {
        try {
            ProxyConfig changed = ProxyConfig.reload(env);
            loop.execute(() -> {
                try {
                    ProxyConfig next = changed.after(config);
                    engine.reconfigure(next);
                    apply(next);
                    updateLimits();
                    reloadsApplied++;
                } catch (IOException | RuntimeException e) {
                    rejectReload(e);
                }
            });
        } catch (IOException | RuntimeException e) {
            loop.execute(() -> rejectReload(e));
        }
    }

    private void rejectReload(Exception e) {
        operatorLog.accept("configuration not reloaded: " + e.getMessage());
        reloadsRejected++;
    }

    /**
     * Drains the proxy; returns when no connection is left, or just before a SIGKILL may come. Goes on accepting for a
     * while where no other process accepts clients. Blocks; call it once, and not on the event loop.
     */
    public void drain() {
        loop.execute(this::beginDrain);
        try {
            drained.await(drainMillis + KILL_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The event loop that does all the work. */
    EventLoop loop() {
        return loop;
    }

    /** Stops immediately. */
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Begins the drain. Without a successor it serves normally until shortly before a kill may come, as clients whose
     * connections are closed could not reconnect; then it closes each connection that has no request in progress,
     * including those that never sent one. With a successor, closing starts immediately.
     */
    private void beginDrain() {
        long now = engine.now();
        if (succession != null) {
            succession.look();
        }
        lifecycle.terminate(
                now,
                succession != null && succession.generations().succeeded(),
                TimeUnit.MILLISECONDS.toMicros(drainMillis - CLOSING_LEAD_MILLIS));
        operatorLog.accept("draining for at most " + drainMillis + " ms in phase " + lifecycle.phase());
        if (lifecycle.phase() == Phase.STOPPING) {
            admission.drain(now);
        }
        syncWithOtherProcesses();
        parts.forEach(Part::leave);
        loop.schedule(this::stopAccepting, Math.max(0, lifecycle.closingStartsAt() - now), TimeUnit.MICROSECONDS);
        loop.schedule(this::closeFreeConnections, drainMillis - CLOSING_LEAD_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(engine::failAllUnanswered, drainMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops listening. Connections in the backlog are still accepted, as closing the listener would reset them. */
    private void stopAccepting() {
        if (listener != null) {
            ServerBacklog.close(listener);
        }
        if (lifecycle.phase() == Phase.STOPPING) {
            closeFreeConnections();
        }
        handOffResponses();
        checkDrained();
    }

    /** Hands the rest of long responses to the kernel, as slow clients may read for longer than this process runs. */
    private void handOffResponses() {
        Map<ClientConnection, Long> unsentBytes = new LinkedHashMap<>();
        for (ClientConnection client : clients) {
            if (client.passing()) {
                unsentBytes.put(client, client.rest());
            }
        }
        if (!unsentBytes.isEmpty() && sendBuffers() > 0) {
            handoff.select(unsentBytes).forEach(client -> client.sendBuffer(HANDOFF_BYTES_PER_CLIENT));
        }
    }

    /** The send buffer that the system grants a socket on request; 0 where that is less than needed for a handoff. */
    private int sendBuffers() {
        if (grantedSendBuffer < 0) {
            try (SocketChannel probe = SocketChannel.open()) {
                probe.setOption(StandardSocketOptions.SO_SNDBUF, HANDOFF_BYTES_PER_CLIENT);
                int bufferSize = probe.getOption(StandardSocketOptions.SO_SNDBUF);
                grantedSendBuffer = bufferSize >= HANDOFF_BYTES_PER_CLIENT ? bufferSize : 0;
            } catch (IOException e) {
                return 0; // no file descriptor is free at the moment
            }
        }
        return grantedSendBuffer;
    }

    private void closeFreeConnections() {
        long now = engine.now();
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.idle() || client.dispensable(now)) {
                client.closeIfFree();
            }
        }
    }

    /** Closes as many idle connections as are due in this sweep, the oldest first. */
    private void closeIdleConnections(long now) {
        List<ClientConnection> idleClients =
                clients.stream().filter(client -> client.vacant(now)).toList();
        int closeCount = lifecycle.idleConnectionsToClose(
                now, idleClients.size(), TimeUnit.MILLISECONDS.toMicros(SWEEP_INTERVAL_MILLIS));
        idleClients.subList(0, closeCount).forEach(ClientConnection::closeIfFree);
    }

    /**
     * Completes the drain when no client is left. A process with a predecessor that still runs ends after it: the
     * supervisor may take the end of the latest process for the end of the proxy, and kill the other with requests in
     * progress.
     */
    private void checkDrained() {
        if (closing()
                && lifecycle.isEnding()
                && clients.isEmpty()
                && (succession == null || !succession.generations().hasPredecessor())) {
            drained.countDown();
        }
    }

    // ---- admin calls

    @Override
    public boolean health() {
        return lifecycle.ready();
    }

    @Override
    public String counters() {
        StringBuilder metrics = new StringBuilder(1024);
        counters.write(metrics);
        engine.writeMetrics(metrics);
        parts.forEach(part -> part.figures(metrics));
        Counters.counter(metrics, "reloads_ok", reloadsApplied);
        Counters.counter(metrics, "reloads_failed", reloadsRejected);
        return metrics.toString();
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
        boolean accepted = lifecycle.quiesce(engine.now());
        syncWithOtherProcesses(); // a process that is to end must not rely on this one
        return accepted;
    }

    @Override
    public boolean resume() {
        boolean accepted = lifecycle.resume();
        syncWithOtherProcesses();
        return accepted;
    }

    // ---- shared by the client connections

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
        return bodyBudget;
    }

    @Override
    public void letGo(ClientConnection.Body body) {
        bodyBudget.release(body).forEach(ClientConnection.Body::admitted);
    }

    @Override
    public void counted(String what) {
        if (tracing) {
            traceEvents.merge(what, 1L, Long::sum);
        }
    }

    @Override
    public void opened(ClientConnection connection) {
        counted("accepted");
        clients.add(connection);
        admission.opened(engine.now(), connection);
        enforceCapacity();
    }

    @Override
    public long turnsAway(RequestHead head) {
        if (admission.mustRefuseInDrain(engine.now(), shedder.isMostImportant(head.requestClass))) {
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
        admission.requestReceived(engine.now(), connection);
    }

    @Override
    public void closed(ClientConnection connection) {
        clients.remove(connection);
        handoff.finished(connection);
        admission.closed(connection);
        enforceCapacity();
        checkDrained();
    }

    @Override
    public void idle(ClientConnection connection, boolean turnedAway) {
        if (turnedAway) {
            admission.rejected(engine.now(), connection);
        } else {
            admission.responseSent(engine.now(), connection);
        }
        if (!listener.config().isAutoRead()) {
            enforceCapacity();
        }
    }

    private void sweep() {
        long now = engine.now();
        if (closing() && lifecycle.isEnding()) {
            handOffResponses();
        }
        for (ClientConnection client : List.copyOf(clients)) {
            client.checkTime(now);
        }
        if (closing()) {
            if (lifecycle.phase() == Phase.STOPPING) {
                closeFreeConnections();
            } else {
                closeIdleConnections(now);
            }
        }
        syncWithOtherProcesses();
        parts.forEach(part -> part.sweep(lifecycle.phase()));
        if (listener != null && !listener.config().isAutoRead()) {
            enforceCapacity();
        }
    }

    /** Closes the connections that admission selects, and accepts new ones only while there is capacity. */
    private void enforceCapacity() {
        if (listener == null || !listener.isOpen()) {
            return;
        }
        long now = engine.now();
        for (ClientConnection client : admission.connectionsToClose(now)) {
            if (!client.reading(now)) {
                client.closeIfFree();
                admission.closed(client); // closes once its response is written; must not be selected again
            }
        }
        listener.config().setAutoRead(admission.hasCapacity());
    }
}
