package gorsemast.cabauw;

import gorsemast.eelde.Homes;
import gorsemast.eelde.Shelf;
import gorsemast.exchange.StrictHttp;
import gorsemast.exchange.Upstream;
import gorsemast.hupsel.Network;
import gorsemast.hupsel.Sender;
import gorsemast.lauwersoog.Gossip;
import gorsemast.lauwersoog.Link;
import gorsemast.lauwersoog.Links;
import gorsemast.lauwersoog.Ports;
import gorsemast.lauwersoog.Record;
import gorsemast.lauwersoog.Record.Program;
import gorsemast.marknesse.Daemon;
import gorsemast.marknesse.Log;
import gorsemast.marknesse.Seed;
import gorsemast.marknesse.Settings;
import gorsemast.schiphol.Configuration;
import gorsemast.schiphol.ConfigurationException;
import gorsemast.schiphol.Route;
import gorsemast.terschelling.Board;
import gorsemast.terschelling.Hash;
import gorsemast.terschelling.Item;
import gorsemast.terschelling.Item.Kind;
import gorsemast.terschelling.MachineNews;
import gorsemast.terschelling.ServerNews;
import gorsemast.terschelling.SpeedNews;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The proxy's program: keeps links to a few registries and proxies, holds the newest configuration, and serves clients.
 * One event loop.
 */
public final class Cabauw implements Daemon, Link.Receiver {
    /** So many registries and other proxies each keeps links to. */
    private static final int REGISTRIES = 2;
    private static final int WATCHED = 2;
    private static final long TICK_MICROS = 250_000;
    /** What was seen of servers' speeds is told so often, by ten edges; more of them tell less often. */
    private static final long SPEEDS_MICROS = 2_000_000;
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
    private static final Log LOG = new Log("cabauw");

    private final Settings settings;
    private final EventLoop loop;
    private final Board board = new Board();
    private final Shelf shelf = new Shelf(SHELF_BYTES);
    private final Homes homes;
    private final Links links;
    private final Gossip gossip;
    private final Upstream servers;
    private final Upstream between;
    private final ObjectDesk desk;
    private final Front front;
    private final Map<String, Sender> senders = new HashMap<>();
    private final Map<String, Long> coldUntil = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final SplittableRandom random = new SplittableRandom(Seed.fresh());
    private final long origin = System.nanoTime();
    private final long life = System.currentTimeMillis();
    private Configuration configuration;
    private boolean serversDirty;
    private long speedsAt;
    private boolean ready;
    private boolean stopping;

    /** By the platform's settings; nothing begins yet. */
    public Cabauw(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.homes = new Homes(settings.ip(), settings.zone());
        this.links = new Links(loop, this::now, () -> new Record.Hello(Program.PROXY, settings.ip(), settings.zone(), "",
            life), this);
        this.gossip = new Gossip(Program.PROXY, board, links, this::now, () -> ready, this::changed);
        int sockets = Math.max(16, settings.descriptors() - RESERVED);
        this.servers = new Upstream(loop, new Network(), this::readyServer, sockets / 3, SERVER_IDLE_MILLIS, CONNECT_MILLIS,
            random.nextLong());
        this.between = new Upstream(loop, new Network(), peer -> true, sockets / 6, 20_000,
            CONNECT_MILLIS, random.nextLong());
        this.desk = new ObjectDesk(loop, this::now, shelf, homes, board, between, senders::get,
            ip -> Ports.OBJECTS.at(settings, ip), settings.ip(), () -> configuration,
            settings.time("originWindow", 5_000_000), random.nextLong());
        this.front = new Front(loop, this::now, () -> configuration, senders::get, desk, random.nextLong());
        settings.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress()));
    }

    /** Microseconds that never go back; far from 0, which stands for never. */
    private long now() {
        return 1_000_000_000L + (System.nanoTime() - origin) / 1_000;
    }

    private boolean readyServer(Upstream.Peer peer) {
        for (Sender sender : senders.values()) {
            if (sender.ready(peer)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void start() throws IOException {
        InetSocketAddress clients = settings.listens().get("front");
        InetSocketAddress probes = settings.listens().get("ready");
        if (clients == null || probes == null) {
            throw new IOException("listenAddrs: front and ready are needed");
        }
        links.listen(Ports.PROXY.at(settings, settings.ip()));
        new ObjectsServer(loop, this::now, () -> configuration, desk, board).listen(Ports.OBJECTS.at(settings, settings.ip()));
        front.listen(clients, HEAD_BYTES);
        listenForProbes(probes);
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(this::tick, TICK_MICROS, TICK_MICROS, TimeUnit.MICROSECONDS);
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
                boolean known = request.uri().equals("/v1/readiness") && request.decoderResult().isSuccess();
                HttpResponseStatus status = !known ? HttpResponseStatus.NOT_FOUND
                    : ready && !stopping ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
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
        loop.execute(() -> changed.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress())));
    }

    @Override
    public void stop() {
        long grace = settings.time("grace", 6_000_000);
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() -> {
            stopping = true;
            LOG.info("leaves, " + front.held() + " requests held; took " + front.taken() + ", " + desk.tally());
            loop.schedule(front::closing, Math.min(NOTICED_MICROS, grace / 2), TimeUnit.MICROSECONDS);
            long last = now() + grace - LAST_MICROS;
            loop.scheduleWithFixedDelay(() -> {
                boolean closes = now() > last - grace + LAST_MICROS + Math.min(NOTICED_MICROS, grace / 2) + 600_000;
                if (now() > last || closes && front.closeIdle() == 0) {
                    over.countDown();
                }
            }, TICK_MICROS / 4, TICK_MICROS / 4, TimeUnit.MICROSECONDS);
        });
        try {
            over.await(grace, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick() {
        try {
            long now = now();
            dial();
            gossip.tick();
            tellSpeeds(now);
            board.forget(now);
            shelf.sweep(now);
            if (serversDirty) {
                tellServers();
            }
            if (!ready && configuration != null && gossip.caughtUp()) {
                ready = true;
                LOG.info("is ready with version " + Long.toHexString(configuration.version()));
            }
        } catch (RuntimeException e) {
            LOG.fault(e);
        }
    }

    /** What all edges hear of speeds together is the same however many they are. */
    private void tellSpeeds(long now) {
        if (now < speedsAt) {
            return;
        }
        speedsAt = now + Math.max(SPEEDS_MICROS, SPEEDS_MICROS / 10 * homes.count());
        Map<String, double[]> seen = new HashMap<>();
        senders.values().forEach(sender -> sender.seen(seen));
        if (!seen.isEmpty()) {
            gossip.publish(new SpeedNews(settings.ip(), seen).item(now, System.currentTimeMillis()));
        }
    }

    private void dial() {
        Set<String> cores = new LinkedHashSet<>();
        for (Item item : board.all(Kind.CORE)) {
            MachineNews machine = MachineNews.of(item);
            if (machine != null && machine.up()) {
                cores.add(machine.ip());
            }
        }
        homes.edges(edgesUp());
        Set<String> edges = new LinkedHashSet<>(edgesUp().keySet());
        Set<InetSocketAddress> wanted = new LinkedHashSet<>();
        Set<String> linked = new LinkedHashSet<>();
        links.up(Program.REGISTRY).forEach(link -> linked.add(link.peer().ip()));
        // Few are known for sure at first: whoever was named is tried until enough are found.
        Set<String> registries = new LinkedHashSet<>(cores);
        if (linked.size() < REGISTRIES) {
            registries.addAll(seeds);
        }
        List<String> ranked = Hash.ranked(settings.ip(), registries);
        int wants = linked.isEmpty() || cores.isEmpty() ? ranked.size() : REGISTRIES;
        for (String ip : ranked) {
            if (wanted.size() < wants || linked.contains(ip) && wanted.size() < REGISTRIES) {
                wanted.add(Ports.REGISTRY.at(settings, ip));
            }
        }
        edges.remove(settings.ip());
        for (String ip : Hash.ranked(settings.ip(), edges).subList(0, Math.min(WATCHED, edges.size()))) {
            wanted.add(Ports.PROXY.at(settings, ip));
        }
        links.keep(wanted);
    }

    // ---- news

    private void changed(Item item) {
        switch (item.kind()) {
            case CONFIGURATION -> configured(item);
            case SERVER -> {
                ServerNews server = ServerNews.of(item);
                if (server != null && server.coldMicros() > 0 && !coldUntil.containsKey(server.id())) {
                    coldUntil.put(server.id(), item.born() + server.coldMicros());
                }
                if (!serversDirty) {
                    serversDirty = true;
                    loop.execute(this::tellServers); // several in one record are told as one
                }
            }
            case PURGE -> desk.purged(item);
            case SPEED -> {
                SpeedNews speeds = SpeedNews.of(item);
                if (speeds != null && !speeds.edge().equals(settings.ip())) {
                    senders.values().forEach(sender -> sender.heard(speeds.edge(), speeds.servers()));
                }
            }
            case EDGE -> {
                if (configuration != null) {
                    loop.execute(this::retune);
                }
            }
            default -> {
                // told to the links at the next tick
            }
        }
    }

    private void configured(Item item) {
        try {
            Configuration next = Configuration.parse(item.body());
            if (configuration != null && next.version() <= configuration.version()) {
                return;
            }
            configuration = next;
            LOG.info("goes by version " + Long.toHexString(next.version()));
            retune();
            serversDirty = true;
            tellServers();
        } catch (ConfigurationException e) {
            LOG.warn("was told a configuration that is none: " + e.getMessage());
        }
    }

    private void retune() {
        homes.edges(edgesUp());
        Map<String, List<Route>> routes = new LinkedHashMap<>();
        configuration.routes().values().forEach(of -> of.forEach(route -> route.services().forEach(part ->
            routes.computeIfAbsent(part.service(), name -> new ArrayList<>()).add(route))));
        Sender.Budget budget = new Sender.Budget(settings.number("retryBudgetRatio", 0.1), settings.number("retrySlack", 0),
            settings.time("retryWindow", 10_000_000));
        routes.forEach((service, of) -> {
            Sender sender = senders.get(service);
            if (sender == null) {
                senders.put(service, new Sender(service, loop, this::now, servers, budget, settings.zoneNumber(settings.zone()),
                    of, homes.count(), random.nextLong()));
                serversDirty = true;
            } else {
                sender.retune(of, homes.count());
            }
        });
    }

    private Map<String, String> edgesUp() {
        Map<String, String> up = new HashMap<>();
        for (Item item : board.all(Kind.EDGE)) {
            MachineNews machine = MachineNews.of(item);
            if (machine != null && machine.up()) {
                up.put(machine.ip(), machine.zone());
            }
        }
        return up;
    }

    private void tellServers() {
        if (!serversDirty) {
            return;
        }
        serversDirty = false;
        Map<String, List<ServerNews>> by = new HashMap<>();
        senders.keySet().forEach(service -> by.put(service, new ArrayList<>()));
        for (Item item : board.all(Kind.SERVER)) {
            ServerNews server = ServerNews.of(item);
            if (server != null && by.containsKey(server.service())) {
                by.get(server.service()).add(server);
            }
        }
        coldUntil.values().removeIf(until -> until < now());
        by.forEach((service, known) -> senders.get(service).servers(known, coldUntil, settings::zoneNumber));
    }

    // ---- links

    @Override
    public void up(Link link) {
        if (link.peer().program() != Program.STORE) {
            gossip.up(link);
        }
    }

    @Override
    public void down(Link link) {
        gossip.down(link);
    }

    @Override
    public void received(Link link, Record record) {
        gossip.received(link, record);
    }
}
