package gorsemast.peers;

import gorsemast.fleet.Fleet;
import gorsemast.fleet.FleetSettings;
import gorsemast.fleet.FleetView;
import gorsemast.fleet.Message;
import gorsemast.fleet.ProcessId;
import gorsemast.transport.Address;
import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * One process's part in its fleet, on sockets: a datagram channel and a timer on the event loop, and {@link Fleet},
 * which decides.
 *
 * <p><b>Proof of death.</b> Whether anybody listens at an address is asked from a socket of its own that is connected
 * to it, as the system reports the port-unreachable message of the other machine (RFC 1122, 4.1.3.3) to connected
 * sockets only. Silence proves nothing, nor does any other error.
 *
 * <p>All on the one event loop. What is received is read within the call, so no buffer is kept. Bounds:
 * {@link #MOST_INQUIRIES} inquiries at a time.
 */
public final class Peers {
    /** So many questions whether somebody listens may be out. */
    private static final int MOST_INQUIRIES = 8;
    /** How long such a question stays open, in periods. */
    private static final int INQUIRY_PERIODS = 2;
    /** One byte more than any of ours has, so that a longer one is seen to be longer. */
    private static final int READ_BYTES = Fleet.MOST_BYTES + 1;

    private final EventLoop loop;
    private final FleetSettings settings;
    private final FleetCodec codec;
    private final Function<Fleet.Actions, Fleet> make;
    private final LongSupplier clock;
    private final Consumer<String> operator;
    private final Set<String> inquiries = new HashSet<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private final Map<String, String> advertised;
    private Fleet fleet;
    private Channel channel;
    private ScheduledFuture<?> steps;
    private Runnable listener = () -> {};
    private boolean changed;
    private long sent;
    private long sentBytes;
    private long received;

    /**
     * @param id this process
     * @param address where the others reach it, as it is told to them
     * @param clock microseconds, never going back; the event loop's own
     * @param operator takes lines for the log
     * @param facts what it tells of itself from the first word on
     */
    public Peers(
            EventLoop loop,
            FleetSettings settings,
            FleetCodec codec,
            ProcessId id,
            String address,
            long seed,
            LongSupplier clock,
            Consumer<String> operator,
            Map<String, String> facts) {
        this.loop = loop;
        this.settings = settings;
        this.codec = codec;
        this.clock = clock;
        this.operator = operator;
        this.advertised = Map.copyOf(facts);
        this.make = actions -> new Fleet(settings, id, address, seed, actions);
    }

    /** Who is told when those that live, or what they tell of themselves, have changed; on the loop. */
    public void listen(Runnable changes) {
        listener = changes;
    }

    /**
     * Takes part from now on. Blocks until it listens; not to be called on the loop.
     *
     * @throws IOException where the address can't be had
     */
    @SuppressWarnings("deprecation") // of the option's name alone
    public void start(InetSocketAddress bind, Collection<String> seeds) throws IOException {
        try {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(Transport.datagrams(loop))
                    .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                    .handler(new Receiver())
                    .bind(bind)
                    .sync()
                    .channel();
            loop.submit(() -> {
                        fleet = make.apply(new Sending());
                        fleet.start(clock.getAsLong(), seeds);
                        fleet.facts(clock.getAsLong(), advertised);
                        steps = loop.scheduleAtFixedRate(
                                this::step, settings.step(), settings.step(), TimeUnit.MICROSECONDS);
                    })
                    .sync();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) { // Netty throws the bind's own, undeclared
            throw new IOException(NetUtil.toSocketAddressString(bind) + ": " + e.getMessage(), e);
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** What is believed of the fleet now; on the loop. */
    public FleetView view() {
        return fleet.view(clock.getAsLong());
    }

    /** Changes what this process tells of itself; on the loop. */
    public void tell(Map<String, String> facts) {
        fleet.facts(clock.getAsLong(), facts);
        told();
    }

    /** Says that it ends, and takes part no more; on the loop. */
    public void leave() {
        if (steps != null) {
            steps.cancel(false);
            fleet.leave(clock.getAsLong());
            channel.close();
        }
    }

    /** Appends what was sent, received and dropped, a line each as {@code name value}; on the loop. */
    public void figures(Map<String, Long> to) {
        to.put("peer_datagrams_sent", sent);
        to.put("peer_bytes_sent", sentBytes);
        to.put("peer_datagrams_received", received);
        dropped.forEach((why, many) -> to.put("peer_datagrams_dropped_" + why, many));
    }

    private void step() {
        fleet.step(clock.getAsLong());
        told();
    }

    private void told() {
        if (changed) {
            changed = false;
            listener.run();
        }
    }

    private final class Sending implements Fleet.Actions {
        @Override
        public void send(String address, Message message) {
            byte[] datagram = codec.encode(message);
            InetSocketAddress to = Address.parse(address);
            if (to == null || datagram.length > Fleet.MOST_BYTES) {
                dropped.merge(to == null ? "address" : "long", 1L, Long::sum);
                return;
            }
            sent++;
            sentBytes += datagram.length;
            // A send that fails is a datagram that is lost: nothing depends on any one of them.
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), channel.voidPromise());
        }

        @Override
        public void inquire(String address) {
            InetSocketAddress to = Address.parse(address);
            if (to == null || inquiries.size() >= MOST_INQUIRIES || !inquiries.add(address)) {
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.datagrams(loop))
                    .handler(new Inquiry(address))
                    .connect(to)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            inquiries.remove(address);
                        }
                    });
        }

        @Override
        public void changed() {
            changed = true;
        }

        @Override
        public void log(String text) {
            operator.accept(text);
        }
    }

    /** The buffer of each datagram is the pipeline's, which lets it go after the call. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            received++;
            try {
                Message message = codec.decode(ByteBufUtil.getBytes(content));
                fleet.received(clock.getAsLong(), NetUtil.toSocketAddressString(packet.sender()), message);
                told();
            } catch (IOException e) {
                dropped.merge(e.getMessage(), 1L, Long::sum);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An error of a datagram sent before; the channel goes on.
            dropped.merge("error", 1L, Long::sum);
        }
    }

    /** Two bytes that no fleet reads, to see whether the other machine has anybody for them. */
    private final class Inquiry extends ChannelInboundHandlerAdapter {
        private final String address;

        Inquiry(String address) {
            this.address = address;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'?', '\n'}));
            ctx.executor().schedule(() -> ctx.close(), INQUIRY_PERIODS * settings.period(), TimeUnit.MICROSECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            inquiries.remove(address);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof PortUnreachableException) {
                fleet.refused(clock.getAsLong(), address);
                told();
            }
            ctx.close();
        }
    }
}
