package gorsemast.peer;

import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * All links of one process: those that others dial, and those that it keeps itself to a set of addresses, redialled when
 * they end. Runs on one event loop.
 */
public final class Links implements Neighbours {
    private static final int CONNECT_MILLIS = 700;
    /** The delay after the first failure; short, as a process that has just started may listen any moment. */
    private static final long MIN_RETRY_MICROS = 30_000;

    private static final long MAX_RETRY_MICROS = 300_000;
    private static final int LENGTH_BYTES = 4;

    private final EventLoop loop;
    private final Supplier<PeerMessage.Hello> hello;
    private final LongSupplier clock;
    private final Link.Receiver receiver;
    private final Set<Link> connected = new LinkedHashSet<>();
    private final Map<InetSocketAddress, Link> dialled = new HashMap<>();
    /** The delay before an unreachable address is redialled; doubled at each failure in a row. */
    private final Map<InetSocketAddress, Long> retryDelays = new HashMap<>();

    private Set<InetSocketAddress> targets = Set.of();
    private Channel listener;

    /** Creates the links of the process identified by {@code hello}; {@code clock} in microseconds. */
    public Links(EventLoop loop, LongSupplier clock, Supplier<PeerMessage.Hello> hello, Link.Receiver receiver) {
        this.loop = loop;
        this.clock = clock;
        this.hello = hello;
        this.receiver = receiver;
    }

    /** Starts to listen for others; not called on the event loop. */
    public void listen(InetSocketAddress address) throws IOException {
        listener = Transport.listen(loop, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                initPipeline(ch, new Link(Links.this, null));
            }
        });
    }

    private static void initPipeline(Channel ch, Link link) {
        ch.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(PeerMessage.MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        link);
    }

    /** Keeps links to these addresses from now on and closes dialled links to others; called on the event loop. */
    public void setTargets(Collection<InetSocketAddress> addresses) {
        targets = Set.copyOf(addresses);
        retryDelays.keySet().retainAll(targets);
        for (InetSocketAddress address : List.copyOf(dialled.keySet())) {
            if (!targets.contains(address)) {
                Link link = dialled.remove(address);
                link.close();
            }
        }
        for (InetSocketAddress address : targets) {
            if (!dialled.containsKey(address)) {
                dial(address);
            }
        }
    }

    private void dial(InetSocketAddress address) {
        Link link = new Link(this, address);
        dialled.put(address, link);
        new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initPipeline(ch, link);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        closed(link);
                    } else if (dialled.get(address) != link) {
                        link.close();
                    }
                });
    }

    void connected(Link link) {
        connected.add(link);
        retryDelays.remove(link.dialled());
        receiver.connected(link);
    }

    void closed(Link link) {
        if (connected.remove(link)) {
            receiver.disconnected(link);
        }
        InetSocketAddress address = link.dialled();
        if (address != null && dialled.get(address) == link) {
            long delay = retryDelays.merge(
                    address, MIN_RETRY_MICROS, (previous, first) -> Math.min(MAX_RETRY_MICROS, 2 * previous));
            loop.schedule(
                    () -> {
                        if (dialled.get(address) == link) {
                            dialled.remove(address);
                            if (targets.contains(address)) {
                                dial(address);
                            }
                        }
                    },
                    delay,
                    TimeUnit.MICROSECONDS);
        }
    }

    PeerMessage.Hello hello() {
        return hello.get();
    }

    Link.Receiver receiver() {
        return receiver;
    }

    long now() {
        return clock.getAsLong();
    }

    @Override
    public Collection<Neighbour> connected() {
        return new ArrayList<>(connected);
    }

    /** Closes all links and the listener. */
    public void close() {
        targets = Set.of();
        if (listener != null) {
            listener.close();
        }
        dialled.clear();
        List.copyOf(connected).forEach(Link::close);
    }
}
