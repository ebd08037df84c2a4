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
 * All links of one process: those that others dial, and those that it keeps itself to a set of addresses, dialled anew
 * when they end. All of it runs on one event loop.
 */
public final class Links implements Neighbours {
    private static final int CONNECT_MILLIS = 700;
    /** How long after a failure the same address is dialled again: what has just started may listen any moment. */
    private static final long FIRST_AGAIN_MICROS = 30_000;

    private static final long AGAIN_MICROS = 300_000;
    private static final int LENGTH_BYTES = 4;

    private final EventLoop loop;
    private final Supplier<PeerMessage.Hello> hello;
    private final LongSupplier clock;
    private final Link.Receiver receiver;
    private final Set<Link> up = new LinkedHashSet<>();
    private final Map<InetSocketAddress, Link> dialled = new HashMap<>();
    /** After how long an address that has not answered of late is dialled again; doubled at each failure in a row. */
    private final Map<InetSocketAddress, Long> again = new HashMap<>();

    private Set<InetSocketAddress> wanted = Set.of();
    private Channel listener;

    /** Links of the process that {@code hello} names; {@code clock} in microseconds. */
    public Links(EventLoop loop, LongSupplier clock, Supplier<PeerMessage.Hello> hello, Link.Receiver receiver) {
        this.loop = loop;
        this.clock = clock;
        this.hello = hello;
        this.receiver = receiver;
    }

    /** Listens for others; not on the loop. */
    public void listen(InetSocketAddress at) throws IOException {
        listener = Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                fill(ch, new Link(Links.this, null));
            }
        });
    }

    private static void fill(Channel ch, Link link) {
        ch.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(PeerMessage.MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        link);
    }

    /** Keeps links to these addresses from now on, and ends those that it has dialled to others; on the loop. */
    public void setTargets(Collection<InetSocketAddress> addresses) {
        wanted = Set.copyOf(addresses);
        again.keySet().retainAll(wanted);
        for (InetSocketAddress address : List.copyOf(dialled.keySet())) {
            if (!wanted.contains(address)) {
                Link link = dialled.remove(address);
                link.close();
            }
        }
        for (InetSocketAddress address : wanted) {
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
                        fill(ch, link);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        ended(link);
                    } else if (dialled.get(address) != link) {
                        link.close();
                    }
                });
    }

    void up(Link link) {
        up.add(link);
        again.remove(link.dialled());
        receiver.connected(link);
    }

    void ended(Link link) {
        if (up.remove(link)) {
            receiver.disconnected(link);
        }
        InetSocketAddress address = link.dialled();
        if (address != null && dialled.get(address) == link) {
            long pause =
                    again.merge(address, FIRST_AGAIN_MICROS, (before, first) -> Math.min(AGAIN_MICROS, 2 * before));
            loop.schedule(
                    () -> {
                        if (dialled.get(address) == link) {
                            dialled.remove(address);
                            if (wanted.contains(address)) {
                                dial(address);
                            }
                        }
                    },
                    pause,
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
        return new ArrayList<>(up);
    }

    /** Ends all. */
    public void close() {
        wanted = Set.of();
        if (listener != null) {
            listener.close();
        }
        dialled.clear();
        List.copyOf(up).forEach(Link::close);
    }
}
