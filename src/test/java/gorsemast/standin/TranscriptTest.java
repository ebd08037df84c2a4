package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whole exchanges, byte for byte as clients, servers and operators see them, against transcripts that were read and approved.
 * A transcript holds requests behind {@code ==>} and answers behind {@code <==}; what is received otherwise is written to
 * {@code target/transcripts}, to be read and, where it is right, put in the place of the approved one.
 */
class TranscriptTest {
    private static final Path APPROVED = Path.of("src/test/resources/transcripts");
    private static final Path RECEIVED = Path.of("target/transcripts");

    @TempDir
    static Path data;

    private static LoopbackNetwork network;

    @BeforeAll
    static void start() throws IOException {
        network = LoopbackNetwork.started("127.0.87", data, 1);
    }

    @AfterAll
    static void end() {
        network.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"objects", "requests", "nodes", "operator"})
    void isAsApproved(String name) throws IOException {
        String approved = Files.readString(APPROVED.resolve(name + ".txt"));
        StringBuilder received = new StringBuilder();
        for (String exchange : approved.split("(?m)^(?===> )")) {
            if (!exchange.isBlank()) {
                String request = exchange.substring(0, exchange.indexOf("<==\n"));
                received.append(request).append("<==\n").append(play(request)).append("\n\n");
            }
        }
        Files.createDirectories(RECEIVED);
        Files.writeString(RECEIVED.resolve(name + ".txt"), received);
        assertThat(received.toString()).isEqualTo(approved);
    }

    private static String play(String request) throws IOException {
        int head = request.indexOf('\n');
        String[] to = request.substring("==> ".length(), head).split(" ");
        InetSocketAddress at =
                (to[0].equals("edge") ? network.fronts() : network.controls()).get(Integer.parseInt(to[1]));
        String text = request.substring(head + 1).replaceFirst("\n$", "");
        int blank = text.indexOf("\n\n");
        String body = blank < 0 ? "" : told(text.substring(blank + 2));
        String lines = (blank < 0 ? text : text.substring(0, blank))
                .replace("Content-Length: @", "Content-Length: " + body.length());
        String sent = lines.replace("\n", "\r\n").replace("HOST", LoopbackNetwork.HOST) + "\r\n\r\n" + body;
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(sent.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return shown(answer(socket.getInputStream(), text.startsWith("HEAD")));
        }
    }

    private static String told(String body) {
        if (body.startsWith("@configuration ")) {
            String[] words = body.trim().split(" ");
            return new String(
                    LoopbackNetwork.configuration(Integer.parseInt(words[1]), words[2]), StandardCharsets.UTF_8);
        }
        return body;
    }

    /** One whole answer. */
    private static String answer(InputStream in, boolean noBody) throws IOException {
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        int length = 0;
        while (!got.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return got.toString(StandardCharsets.UTF_8) + "(the end)";
            }
            got.write(next);
        }
        for (String line : got.toString(StandardCharsets.UTF_8).split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        if (!noBody) {
            got.write(in.readNBytes(length));
        }
        return got.toString(StandardCharsets.UTF_8);
    }

    /** As it is approved: lines for the eye, and names in the place of what differs from run to run. */
    private static String shown(String answer) {
        String told = answer.replace("\r\n", "\n")
                .replaceAll("Edge-Seal: i-[0-9]", "Edge-Seal: SERVER")
                .replaceAll("(?i)retry-after: [0-9.]+", "Retry-After: SOME")
                .stripTrailing();
        for (int version = 1; version < 10; version++) {
            String body = new String(LoopbackNetwork.configuration(version, "20s"), StandardCharsets.UTF_8);
            told = told.replace(body, "@configuration " + version + " 20s");
        }
        return told;
    }
}
