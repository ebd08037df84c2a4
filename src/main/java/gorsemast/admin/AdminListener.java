package gorsemast.admin;

import gorsemast.transport.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Listens at the second address. A connection carries one line, the call; the answer is a line that begins with
 * {@code 200} or {@code 400}, for {@code counters} the figures and a line {@code EOF} behind it, and the connection ends.
 *
 * <p>Some callers say nothing, or half a call, and stay. So there are {@link #PLACES} of them at most, the one that
 * came first goes when another comes, and none stays longer than {@link #WHOLE_MILLIS}; none of it is taken from the
 * clients' places.
 *
 * <p><b>Threads.</b> All on the event loop that is handed in, which also owns whatever {@link CommandDecoder} reads.
 */
public final class AdminListener {
    /** Callers at a time. Each is answered within one turn of the loop, so only the silent ones add up. */
    static final int PLACES = 24;
    /** A caller whose line is not whole by then is told so, and closed. */
    static final long WHOLE_MILLIS = 2_000;
    /** A longer line is no call. */
    static final int LONGEST = 256;

    private static final int BACKLOG = 128;

    /** What can be asked. Each returns at once. */
    public interface Calls {
        /** Whether this process takes clients. */
        boolean health();

        /** The figures, each a line that ends in a line feed. */
        String counters();

        /** Sends the clients away; whether it does. */
        boolean quiesce();

        /** Takes clients again; whether it does. */
        boolean resume();

        /** What a part that is on answers, behind the status, with its line feed; null where none knows the call. */
        default String other(String call) {
            return null;
        }
    }

    private final Calls calls;
    private final Predicate<Channel> other;
    private final Set<Channel> callers = new LinkedHashSet<>();
    private Channel listener;

    /**
     * A listener that is not bound yet.
     *
     * @param other takes over a connection whose first byte is not a small letter, as no call begins so, and says
     *     whether it did; it then owns the pipeline and is handed all that has come
     */
    public AdminListener(Calls calls, Predicate<Channel> other) {
        this.calls = calls;
        this.other = other;
    }

    /** Binds it; on {@code loop}, which then does all of the work. */
    public ChannelFuture listen(MultiThreadIoEventLoopGroup group, EventLoop loop, SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(Transport.listener(loop))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new Caller(loop));
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Where it listens, once it does. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Lets nobody in any more. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private String answer(String call) {
        return switch (call) {
            case "health" -> said(calls.health(), "serving", "not serving");
            case "counters" -> "200 figures\n" + calls.counters() + "EOF\n";
            case "quiesce" -> said(calls.quiesce(), "emptying", "not in service");
            case "resume" -> said(calls.resume(), "serving", "not in service");
            default -> {
                String other = calls.other(call);
                yield other == null
                        ? "400 unknown call; there are health, counters, quiesce, resume\n"
                        : "200 " + other;
            }
        };
    }

    private static String said(boolean yes, String then, String otherwise) {
        return (yes ? "200 " + then : "400 " + otherwise) + '\n';
    }

    /** One caller, who is answered once. */
    private final class Caller extends ChannelInboundHandlerAdapter {
        private final EventLoop loop;
        private final StringBuilder line = new StringBuilder();
        private boolean answered;

        Caller(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (callers.size() >= PLACES) {
                Channel first = callers.iterator().next();
                callers.remove(first);
                first.close();
            }
            callers.add(ctx.channel());
            loop.schedule(
                    () -> {
                        if (callers.contains(ctx.channel())) {
                            answer(ctx, "400 no whole call in " + WHOLE_MILLIS + " ms\n");
                        }
                    },
                    WHOLE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers.remove(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            if (!answered
                    && line.length() == 0
                    && in.isReadable()
                    && !lower(in.getByte(in.readerIndex()))
                    && other.test(ctx.channel())) {
                callers.remove(ctx.channel());
                answered = true;
                ctx.fireChannelActive();
                ctx.fireChannelRead(message);
                ctx.pipeline().remove(this);
                return;
            }
            try {
                while (!answered && in.isReadable()) {
                    char c = (char) (in.readByte() & 0xff);
                    if (c == '\n') {
                        int end = line.length();
                        line.setLength(end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
                        answer(ctx, AdminListener.this.answer(line.toString()));
                    } else if (line.length() >= LONGEST) {
                        answer(ctx, "400 longer than any call\n");
                    } else {
                        line.append(c);
                    }
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            if (!answered) {
                answered = true;
                ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static boolean lower(byte b) {
        return b >= 'a' && b <= 'z';
    }
}
