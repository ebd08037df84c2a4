package gorsemast.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdminListenerTest {
    private static final int PATIENCE_MILLIS = 30_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean serving = true;
    private AdminListener listener;

    @BeforeEach
    void open() throws Exception {
        listener = new AdminListener(
                new AdminListener.Calls() {
                    @Override
                    public boolean health() {
                        return serving;
                    }

                    @Override
                    public String counters() {
                        return "one:1|c\ntwo:2|g\n";
                    }

                    @Override
                    public boolean quiesce() {
                        serving = false;
                        return true;
                    }

                    @Override
                    public boolean resume() {
                        serving = true;
                        return true;
                    }
                },
                ch -> false);
        listener.listen(group, group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    private Socket say(String text) throws IOException {
        InetSocketAddress at = (InetSocketAddress) listener.address();
        Socket socket = new Socket(at.getAddress(), at.getPort());
        sockets.add(socket);
        socket.setSoTimeout(PATIENCE_MILLIS);
        socket.setTcpNoDelay(true);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String all(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @ParameterizedTest
    @CsvSource({
        "health, 200",
        "counters, 200",
        "quiesce, 200",
        "resume, 200",
        "Health, 400",
        "'', 400",
        "'health ', 400",
        "flush, 400"
    })
    void answersOneLineAndCloses(String call, String word) throws Exception {
        assertTrue(all(say(call + "\n")).startsWith(word));
        assertTrue(all(say(call + "\r\n")).startsWith(word));
    }

    @Test
    void endsTheFiguresWithALineOfTheirOwn() throws Exception {
        assertEquals("200 figures\none:1|c\ntwo:2|g\nEOF\n", all(say("counters\n")));
    }

    @Test
    void putsACallTogetherFromItsPieces() throws Exception {
        Socket socket = say("");
        for (char c : "quiesce\n".toCharArray()) {
            socket.getOutputStream().write(c);
        }
        assertTrue(all(socket).startsWith("200"));
        assertTrue(all(say("health\n")).startsWith("400"));
    }

    @Test
    void answersBesideMoreSilentCallersThanItHasPlaces() throws Exception {
        for (int i = 0; i < 3 * AdminListener.PLACES; i++) {
            say(i % 2 == 0 ? "" : "hea");
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(all(say("health\n")).startsWith("200"));
        }
        assertEquals(-1, sockets.get(0).getInputStream().read(), "the first made room");
    }

    @Test
    void tellsWhoNeverEndsHisLine() throws Exception {
        assertTrue(all(say("hea")).startsWith("400"));
        assertTrue(all(say("x".repeat(AdminListener.LONGEST + 1))).startsWith("400"));
    }
}
