package gorsemast.peers;

import anisebend.net.Part;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsemast.fleet.FleetView;
import gorsemast.fleet.Learning;
import gorsemast.fleet.Learning.Offer;
import gorsemast.transport.Address;
import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Lists of nodes from one proxy to another, over the second address: {@code list} there is answered with the list in the
 * register's form and its age. {@link Learning} decides whom to ask and what to take.
 *
 * <p>All on the event loop. What is read is copied as it comes, so no buffer is kept. Bounds: {@link #MOST_BYTES} a list,
 * {@link Learning#ASKED} calls at a time.
 */
final class ListExchange {
    private static final int MOST_BYTES = 4 << 20;
    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Part.Host host;
    private final Learning learning = new Learning();
    private final Map<String, byte[]> lists = new HashMap<>();

    ListExchange(Part.Host host) {
        this.host = host;
    }

    /** Asks whom there is to ask; called often. */
    void sweep(FleetView view) {
        for (String address : learning.ask(now(), view, host.listVersion(), host.listed())) {
            ask(address);
        }
    }

    private long now() {
        return host.clock().getAsLong();
    }

    /** What this process answers, a JSON object; null where the register has told it nothing. */
    String answer() {
        if (!host.listed()) {
            return null;
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator to = JSON.createGenerator(text)) {
            to.setCodec(MAPPER);
            to.writeStartObject();
            to.writeNumberField("seq", host.listVersion());
            to.writeBooleanField("whole", true);
            to.writeNumberField("age_ms", host.listAge() / 1_000);
            to.writeArrayFieldStart("hosts");
            for (Map<String, Object> entry : host.list().values()) {
                to.writeObject(new TreeMap<>(entry));
            }
            to.writeEndArray();
            to.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // into memory
        }
        return text.toString();
    }

    private void ask(String address) {
        InetSocketAddress to = Address.parse(address);
        if (to == null) {
            take(learning.failed(now(), address));
            return;
        }
        Call call = new Call(address);
        new Bootstrap()
                .group(host.loop())
                .channel(Transport.stream(host.loop()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TimeUnit.MICROSECONDS.toMillis(Learning.PATIENCE))
                .handler(call)
                .connect(to)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        call.failed();
                    }
                });
        host.loop().schedule(call::failed, Learning.PATIENCE, TimeUnit.MICROSECONDS);
    }

    private void answered(String from, byte[] text) throws IOException {
        Map<?, ?> list = MAPPER.readValue(text, Map.class);
        if (!(list.get("seq") instanceof Number seq)
                || !(list.get("age_ms") instanceof Number age)
                || !(list.get("hosts") instanceof List<?> hosts)
                || !Boolean.TRUE.equals(list.get("whole"))) {
            throw new IOException("no list");
        }
        lists.put(from, text);
        take(learning.answered(
                now(),
                new Offer(from, seq.longValue(), digest(MAPPER.writeValueAsBytes(hosts)), age.longValue() * 1_000),
                host.listVersion()));
    }

    private static long digest(byte[] text) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    private void take(Offer offer) {
        if (offer == null) {
            return;
        }
        try {
            host.learn(lists.get(offer.from()));
            host.log("list " + offer.version() + " learned from " + offer.from() + ", " + offer.age() / 1_000
                    + " ms old");
        } catch (IOException | RuntimeException e) {
            host.log("list of " + offer.from() + " not taken: " + e.getMessage());
        }
        lists.clear();
    }

    /** One call, which ends once. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final String address;
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
        private boolean ended;
        private ChannelHandlerContext context;

        Call(String address) {
            this.address = address;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            ctx.writeAndFlush(Unpooled.copiedBuffer("list\n", StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws IOException {
            bytes.readBytes(answer, bytes.readableBytes());
            if (answer.size() > MOST_BYTES) {
                failed();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            String text = answer.toString(StandardCharsets.UTF_8);
            if (!ended && text.startsWith("200 {") && text.endsWith("}\n")) {
                try {
                    answered(address, text.substring(4).getBytes(StandardCharsets.UTF_8));
                    ended = true;
                } catch (IOException | RuntimeException e) {
                    host.log("list of " + address + " can't be read: " + e.getMessage());
                }
            }
            failed();
        }

        void failed() {
            if (!ended) {
                ended = true;
                if (context != null) {
                    context.close();
                }
                take(learning.failed(now(), address));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failed();
        }
    }
}
