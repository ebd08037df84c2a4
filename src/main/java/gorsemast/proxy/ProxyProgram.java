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
 * The proxy's program round its {@link ProxyNode}: links to a few registries and proxies, the listeners, and a sender for each
 * service. One event loop.
 */
public final class ProxyProgram implements Daemon, Link.Receiver, ProxyNode.Listener {
    /** Of the descriptors, so many are the platform's. */
    private static final int RESERVED = 200;

    private static final int HEAD_BYTES = 16 << 10;
    private static final long SERVER_IDLE_MILLIS = 8_000;
    private static final long CONNECT_MILLIS = 400;
    /** Room for copies. With twice of it a quiet day's hits are the same, and the memory costs three times what they earn. */
    private static final long SHELF_BYTES = 9L << 20;
    /** The platform looks each second and acts on two misses; until then new clients still come. */
    private static final long NOTICED_MICROS = 2_400_000;
    /** So long before the platform kills, what is left is let go. */
    private static final long LAST_MICROS = 500_000;
    /** So long after its connections began to end with their answers it ends those that are idle. */
    private static final long CLOSING_MICROS = 600_000;
    /** Who is accepted later than this before what is left is let go may not have his answer. */
    private static final long UNACCEPTED_MICROS = 1_000_000;
    /** While it leaves, it looks so often for what is over. */
    private static final long LEAVING_MICROS = 60_000;

    /** The log tells so often what has happened to requests for objects. */
    private static final long REPORT_MICROS = 10_000_000;

    private static final Log LOG = new Log("proxy");

    private final Settings settings;
    private final EventLoop loop;
    private final ResponseCache shelf = new ResponseCache(SHELF_BYTES);
    private final Links links;
    private final SocketBudget places;
    private final ProxyNode lookout;
    private final Upstream servers;
    private final Upstream between;
    private final ObjectService desk;
    private final FetchCoordinator<FullHttpResponse> fetching;
    private final Frontend front;
    private final EdgeCounters counters = new EdgeCounters();
    private final Map<String, ServiceDispatcher> senders = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(RandomSeed.next());
    private final long origin = System.nanoTime();
    private boolean stopping;
    private long reportAt;
    private long violations;

    /** By the platform's settings; nothing begins yet. */
    public ProxyProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, this::hello, this);
        this.places = SocketBudget.of(Math.max(16, settings.fileDescriptors() - RESERVED));
        this.lookout = new ProxyNode(
                settings.ip(),
                settings.zone(),
                places.registries(),
                places.watched(),
                System.currentTimeMillis(),
                settings.seedIps(),
                this::now,
                links,
                this::seen,
                this);
        this.servers = new Upstream(
                loop,
                new ServerDialect(),
                this::readyServer,
                places.servers(),
                SERVER_IDLE_MILLIS,
                CONNECT_MILLIS,
                random.nextLong());
        this.between = new Upstream(
                loop, new HomeDialect(), peer -> true, places.between(), 20_000, CONNECT_MILLIS, random.nextLong());
        this.desk = new ObjectService(
                loop,
                this::now,
                new HomeClient(
                        loop,
                        this::now,
                        between,
                        ip -> Ports.OBJECTS.address(settings, ip),
                        places.between(),
                        places.keeps(),
                        counters.sockets(),
                        random.nextLong()),
                senders::get,
                lookout::configuration,
                lookout.homes()::edgeCount,
                counters.answers(),
                random.nextLong());
        this.fetching = new FetchCoordinator<>(
                settings.ip(),
                this::now,
                shelf,
                lookout.homes(),
                lookout.gossipState(),
                settings.time("originWindow", 5_000_000),
                settings.linkBytesPerSecond(),
                random.nextLong(),
                desk);
        desk.goBy(fetching);
        this.front = new Frontend(
                loop,
                this::now,
                lookout::configuration,
                lookout::configurationStatus,
                senders::get,
                desk,
                counters,
                places,
                random.nextLong());
    }

    private PeerMessage.Hello hello() {
        return lookout.hello();
    }

    private Map<String, double[]> seen() {
        Map<String, double[]> all = new HashMap<>();
        senders.values().forEach(sender -> sender.collectObservations(all));
        return all;
    }

    /** Microseconds that never go back; far from 0, which stands for never. */
    private long now() {
        return 1_000_000_000L + (System.nanoTime() - origin) / 1_000;
    }

    private boolean readyServer(Upstream.Peer peer) {
        for (ServiceDispatcher sender : senders.values()) {
            if (sender.isReady(peer)) {
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
            throw new IOException("listenAddrs: front and ready are needed");
        }
        front.listen(clients, HEAD_BYTES); // first: who comes before the rest is there waits and is not turned away
        if (places.watched() > 0) {
            links.listen(Ports.PROXY.address(settings, settings.ip()));
        }
        new ObjectsServer(
                        loop,
                        this::now,
                        lookout::configuration,
                        desk,
                        lookout.gossipState(),
                        counters.sockets(),
                        places.asked())
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

    /** Answers the platform's question whether clients are to come here. */
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
                        : lookout.ready() && !stopping ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
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
        loop.execute(() -> lookout.addSeeds(changed.seedIps()));
    }

    @Override
    public void stop() {
        long grace = settings.time("grace", 6_000_000);
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() -> {
            stopping = true;
            LOG.info("leaves, " + front.held() + " requests held; took " + front.taken() + ", "
                    + fetching.counters().describe() + "; own answers: "
                    + counters.answers().describe());
            loop.schedule(front::closing, Math.min(NOTICED_MICROS, grace / 2), TimeUnit.MICROSECONDS);
            long begun = now();
            loop.scheduleWithFixedDelay(
                    () -> leave(begun, grace, over), LEAVING_MICROS, LEAVING_MICROS, TimeUnit.MICROSECONDS);
        });
        try {
            over.await(grace, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Looks whether all is over, {@code grace} after {@code begun} at the latest. While it is found out, and until the process has ended, this
     * loop goes on: who were accepted then would have his request passed on and never answered.
     */
    private void leave(long begun, long grace, CountDownLatch over) {
        long gone = now() - begun;
        long last = grace - LAST_MICROS;
        boolean closes = gone > Math.min(NOTICED_MICROS, grace / 2) + CLOSING_MICROS;
        boolean idle = closes && front.closeIdle() == 0;
        if (idle || gone > last - UNACCEPTED_MICROS) {
            front.stopListening();
        }
        if (idle || gone > last) {
            over.countDown();
        }
    }

    @Override
    public void close() {
        Daemon.shutDown(loop);
    }

    private void tick() {
        try {
            lookout.tick();
            shelf.removeExpired(now());
            report();
            Set<InetSocketAddress> wanted = new LinkedHashSet<>();
            lookout.wantedRegistries().forEach(ip -> wanted.add(Ports.REGISTRY.address(settings, ip)));
            lookout.wantedEdges().forEach(ip -> wanted.add(Ports.PROXY.address(settings, ip)));
            links.setTargets(wanted);
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    private void report() {
        fetching.checkInvariants();
        if (fetching.invariants().total() > violations) {
            violations = fetching.invariants().total();
            LOG.warn("objects: invariant violated: " + fetching.invariants().describe());
        }
        if (now() >= reportAt) {
            reportAt = now() + REPORT_MICROS;
            if (fetching.counters().changed()) {
                LOG.info("objects: " + fetching.counters().describe());
            }
            if (counters.sockets().changed()) {
                LOG.info("sockets: " + counters.sockets().describe());
            }
            if (counters.answers().changed()) {
                LOG.info("own answers: " + counters.answers().describe());
            }
        }
    }

    // ---- what the lookout tells

    @Override
    public void configurationChanged(Configuration now, int edges) {
        Map<String, List<Route>> routes = now.routesByService();
        ModuleConfiguration.RetryBudget budget = new ModuleConfiguration.RetryBudget(
                settings.number("retryBudgetRatio", 0.1),
                settings.number("retrySlack", 0),
                settings.time("retryWindow", 10_000_000));
        routes.forEach((service, of) -> {
            ServiceDispatcher sender = senders.get(service);
            if (sender == null) {
                sender = new ServiceDispatcher(
                        service,
                        loop,
                        this::now,
                        servers,
                        new ModuleConfiguration(
                                settings.ip(),
                                Math.max(1, places.servers() / routes.size()),
                                budget,
                                settings.zoneIndex(settings.zone()),
                                of,
                                edges),
                        () -> fetching.tryAcquirePermit(service),
                        random.nextLong());
                senders.put(service, sender);
            } else {
                sender.updateRoutes(of, edges);
            }
            int connections = now.services().get(service).maxConnections();
            boolean held = of.stream().allMatch(route -> route.kind() == Route.Kind.CACHEABLE);
            sender.setConnectionLimit(connections, held ? Math.min(edges, desk.fetcherCount(service)) : edges);
        });
    }

    @Override
    public void serversChanged(Map<String, List<ServerInfo>> by, Map<String, Long> coldUntil) {
        by.forEach((service, known) -> {
            ServiceDispatcher sender = senders.get(service);
            if (sender != null) {
                sender.updateServers(known, coldUntil, settings::zoneIndex);
            }
        });
    }

    @Override
    public void purged(Entry purge) {
        fetching.applyPurge(purge);
    }

    @Override
    public void speedsReceived(Map<String, double[]> pooled) {
        senders.values().forEach(sender -> sender.applyPooledObservations(pooled));
    }

    @Override
    public void runAfterwards(Runnable task) {
        loop.execute(task);
    }

    // ---- links

    @Override
    public void connected(Neighbour one) {
        lookout.up(one);
    }

    @Override
    public void disconnected(Neighbour one) {
        // what it told holds on
    }

    @Override
    public void received(Neighbour one, PeerMessage record) {
        lookout.received(one, record);
    }
}
