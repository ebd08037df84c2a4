package gorsemast.proxy;

import gorsemast.cache.FetchCoordinator;
import gorsemast.cache.ResponseCache;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.ModuleConfiguration;
import gorsemast.dispatch.ServerDialect;
import gorsemast.dispatch.ServiceDispatcher;
import gorsemast.gossip.Entry;
import gorsemast.gossip.ServerInfo;
import gorsemast.http.StrictHttp;
import gorsemast.http.Upstream;
import gorsemast.logging.Log;
import gorsemast.node.Daemon;
import gorsemast.node.RandomSeed;
import gorsemast.node.Settings;
import gorsemast.peer.Link;
import gorsemast.peer.Links;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.Ports;
import gorsemast.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The proxy program: runs a {@link ProxyNode} with its links to registries and other proxies, the listeners, and a
 * dispatcher for each service. One event loop.
 */
public final class ProxyProgram implements Daemon, Link.Receiver, ProxyNode.Listener {
    /** File descriptors reserved for the platform. */
    private static final int RESERVED_DESCRIPTORS = 200;

    private static final long SERVER_IDLE_MILLIS = 8_000;
    private static final long CONNECT_MILLIS = 400;
    /**
     * Size of the object cache. Doubling it leaves the hit rate under light load unchanged, and the memory would cost
     * three times what the additional hits are worth.
     */
    private static final long CACHE_BYTES = 9L << 20;

    private static final long DEFAULT_CONFIG_APPLY_MICROS = 2_000_000;
    /** How often the shutdown checks whether all connections are closed. */
    private static final long SHUTDOWN_POLL_MICROS = 60_000;
    /** How long the process stays for the responses to abandoned requests to be sent. */
    private static final long SEND_MICROS = 200_000;

    /** How often the counters are logged. */
    private static final long REPORT_INTERVAL_MICROS = 10_000_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private static final Log LOG = new Log("proxy");

    private final Settings settings;
    private final EventLoop loop;
    private final ResponseCache cache = new ResponseCache(CACHE_BYTES);
    private final Links links;
    private final SocketBudget socketBudget;
    private final ProxyNode node;
    private final Upstream serverUpstream;
    private final Upstream edgeUpstream;
    private final ObjectService objects;
    private final FetchCoordinator<FullHttpResponse> coordinator;
    private final Frontend frontend;
    private final EdgeCounters counters = new EdgeCounters();
    private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(RandomSeed.next());
    private final long originNanos = System.nanoTime();
    private boolean stopping;
    private long nextReportAt;
    private long reportedViolations;

    /** Creates the program from the platform's settings, without starting it. */
    public ProxyProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, this::hello, this);
        this.socketBudget = SocketBudget.of(Math.max(16, settings.fileDescriptors() - RESERVED_DESCRIPTORS));
        this.node = new ProxyNode(
                settings.ip(),
                settings.zone(),
                socketBudget.registries(),
                socketBudget.linkedEdges(),
                System.currentTimeMillis(),
                settings.time("configApply", DEFAULT_CONFIG_APPLY_MICROS),
                settings.seedIps(),
                this::now,
                links,
                this::collectObservations,
                this);
        this.serverUpstream = new Upstream(
                loop,
                new ServerDialect(),
                this::readyServer,
                socketBudget.servers(),
                SERVER_IDLE_MILLIS,
                CONNECT_MILLIS,
                random.nextLong());
        this.edgeUpstream = new Upstream(
                loop,
                new HomeDialect(),
                peer -> true,
                socketBudget.outboundEdges(),
                20_000,
                CONNECT_MILLIS,
                random.nextLong());
        this.objects = new ObjectService(
                loop,
                this::now,
                new HomeClient(
                        loop,
                        this::now,
                        edgeUpstream,
                        ip -> Ports.OBJECTS.address(settings, ip),
                        socketBudget.outboundEdges(),
                        socketBudget.keepsConnections(),
                        counters.socketEvents(),
                        random.nextLong()),
                dispatchers::get,
                node::configuration,
                node.homes()::edgeCount,
                counters.localResponses(),
                random.nextLong());
        this.coordinator = new FetchCoordinator<>(
                settings.ip(),
                this::now,
                cache,
                node.homes(),
                node.gossipState(),
                settings.time("originWindow", 5_000_000),
                settings.linkBytesPerSecond(),
                random.nextLong(),
                objects);
        objects.setCoordinator(coordinator);
        this.frontend = new Frontend(
                loop,
                this::now,
                node::configuration,
                node::configurationStatus,
                node::describeConfiguration,
                dispatchers::get,
                objects,
                counters,
                socketBudget,
                random.nextLong());
    }

    private PeerMessage.Hello hello() {
        return node.hello();
    }

    private Map<String, double[]> collectObservations() {
        Map<String, double[]> all = new HashMap<>();
        dispatchers.values().forEach(dispatcher -> dispatcher.collectObservations(all));
        return all;
    }

    /** Monotonic time in microseconds; far from 0, which stands for never. */
    private long now() {
        return 1_000_000_000L + (System.nanoTime() - originNanos) / 1_000;
    }

    private boolean readyServer(Upstream.Peer peer) {
        for (ServiceDispatcher dispatcher : dispatchers.values()) {
            if (dispatcher.isReady(peer)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void start() throws IOException {
        InetSocketAddress clients = settings.listenAddresses().get("front");
        InetSocketAddress probes = settings.listenAddresses().get("ready");
        if (clients == null || probes == null) {
            throw new IOException("listenAddrs: front and ready are required");
        }
        frontend.listen(clients); // listens first, so that early clients wait and are not refused
        if (socketBudget.linkedEdges() > 0) {
            links.listen(Ports.PROXY.address(settings, settings.ip()));
        }
        new ObjectsServer(
                        loop,
                        this::now,
                        node::configuration,
                        objects,
                        node.gossipState(),
                        counters.socketEvents(),
                        socketBudget.inboundEdges())
                .listen(Ports.OBJECTS.address(settings, settings.ip()));
        listenForProbes(probes);
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(this::tick, ProxyNode.TICK_MICROS, ProxyNode.TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    private void listenForProbes(InetSocketAddress at) throws IOException {
        Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new StrictHttp.Requests(), new HttpResponseEncoder(), new Probe());
            }
        });
    }

    /** Answers the platform's readiness probes. */
    private final class Probe extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest head) {
                request = head;
            }
            if (message instanceof LastHttpContent && request != null) {
                boolean known = request.uri().equals("/v1/readiness")
                        && request.decoderResult().isSuccess();
                HttpResponseStatus status = !known
                        ? HttpResponseStatus.NOT_FOUND
                        : node.ready() && !stopping ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                FullHttpResponse answer =
                        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
                answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                var written = ctx.writeAndFlush(answer);
                if (!HttpUtil.isKeepAlive(request) || !known) {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
                request = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> node.addSeeds(changed.seedIps()));
    }

    @Override
    public void stop() {
        long grace = settings.time("grace", 6_000_000);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            stopping = true;
            LOG.info("shutting down, " + frontend.unansweredRequests() + " requests in progress, "
                    + frontend.forwardedRequests() + " of them forwarded; handled "
                    + frontend.requestCount() + ", "
                    + coordinator.counters().describe() + "; local responses: "
                    + counters.localResponses().describe() + "; sockets: "
                    + counters.socketEvents().describe());
            ShutdownSchedule schedule = new ShutdownSchedule(now(), grace);
            frontend.beginShutdown(schedule);
            loop.scheduleWithFixedDelay(
                    () -> checkShutdown(schedule, done),
                    SHUTDOWN_POLL_MICROS,
                    SHUTDOWN_POLL_MICROS,
                    TimeUnit.MICROSECONDS);
        });
        try {
            done.await(grace, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Takes the steps of the shutdown that are due. This loop keeps running until the process exits, so it stops
     * accepting first: a client accepted at that point would have its request forwarded and never answered.
     */
    private void checkShutdown(ShutdownSchedule schedule, CountDownLatch done) {
        long now = now();
        if (now >= schedule.abandonsAt()) {
            frontend.abandonRequests();
        }
        boolean idle = now >= schedule.closesIdleAt() && frontend.closeIdle() == 0;
        if (idle || now >= schedule.stopsAcceptingAt()) {
            frontend.stopListening();
        }
        boolean ends = idle || now >= schedule.abandonsAt() + SEND_MICROS;
        if (ends && done.getCount() > 0) {
            LOG.info("shut down after " + schedule.elapsed(now) / MICROS_PER_MILLI + " ms, "
                    + frontend.unansweredRequests() + " requests unanswered, " + frontend.forwardedRequests()
                    + " of them forwarded, on " + frontend.connectionCount() + " connections; local responses: "
                    + counters.localResponses().describe());
            done.countDown();
        }
    }

    @Override
    public void close() {
        Daemon.shutDown(loop);
    }

    private void tick() {
        try {
            node.tick();
            cache.removeExpired(now());
            report();
            Set<InetSocketAddress> targets = new LinkedHashSet<>();
            node.targetRegistries().forEach(ip -> targets.add(Ports.REGISTRY.address(settings, ip)));
            node.targetEdges().forEach(ip -> targets.add(Ports.PROXY.address(settings, ip)));
            links.setTargets(targets);
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    private void report() {
        coordinator.checkInvariants();
        if (coordinator.invariants().total() > reportedViolations) {
            reportedViolations = coordinator.invariants().total();
            LOG.warn("objects: invariant violated: " + coordinator.invariants().describe());
        }
        if (now() >= nextReportAt) {
            nextReportAt = now() + REPORT_INTERVAL_MICROS;
            if (coordinator.counters().changed()) {
                LOG.info("objects: " + coordinator.counters().describe());
            }
            if (counters.socketEvents().changed()) {
                LOG.info("sockets: " + counters.socketEvents().describe());
            }
            if (counters.localResponses().changed()) {
                LOG.info("local responses: " + counters.localResponses().describe());
            }
        }
    }

    // ---- changes reported by the node

    @Override
    public void configurationChanged(Configuration configuration, int edges) {
        Map<String, List<Route>> routes = configuration.routesByService();
        ModuleConfiguration.RetryBudget budget = new ModuleConfiguration.RetryBudget(
                settings.number("retryBudgetRatio", 0.1),
                settings.number("retrySlack", 0),
                settings.time("retryWindow", 10_000_000));
        routes.forEach((service, serviceRoutes) -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher == null) {
                dispatcher = new ServiceDispatcher(
                        service,
                        loop,
                        this::now,
                        serverUpstream,
                        new ModuleConfiguration(
                                settings.ip(),
                                Math.max(1, socketBudget.servers() / routes.size()),
                                budget,
                                settings.zoneIndex(settings.zone()),
                                serviceRoutes,
                                edges),
                        () -> coordinator.tryAcquirePermit(service),
                        random.nextLong());
                dispatchers.put(service, dispatcher);
            } else {
                dispatcher.updateRoutes(serviceRoutes, edges);
            }
            int connections = configuration.services().get(service).maxConnections();
            boolean allCacheable = serviceRoutes.stream().allMatch(route -> route.kind() == Route.Kind.CACHEABLE);
            dispatcher.setConnectionLimit(
                    connections, allCacheable ? Math.min(edges, objects.fetcherCount(service)) : edges);
        });
    }

    @Override
    public void serversChanged(Map<String, List<ServerInfo>> serversByService, Map<String, Long> coldUntil) {
        serversByService.forEach((service, servers) -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                dispatcher.updateServers(servers, coldUntil, settings::zoneIndex);
            }
        });
    }

    @Override
    public void purged(Entry purge) {
        coordinator.applyPurge(purge);
    }

    @Override
    public void speedsReceived(Map<String, double[]> pooled) {
        dispatchers.values().forEach(dispatcher -> dispatcher.applyPooledObservations(pooled));
    }

    @Override
    public void runAfterwards(Runnable task) {
        loop.execute(task);
    }

    // ---- links

    @Override
    public void connected(Neighbour neighbour) {
        node.up(neighbour);
    }

    @Override
    public void disconnected(Neighbour neighbour) {
        // its updates stay valid
    }

    @Override
    public void received(Neighbour neighbour, PeerMessage message) {
        node.received(neighbour, message);
    }
}
