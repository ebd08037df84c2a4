package gorsemast.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One call at a proxy's second address, for tools; blocks. */
public final class AdminCall {
    private static final int WITHIN_MILLIS = 2_000;

    private AdminCall() {}

    /** All that is answered; at most two seconds for each read. */
    public static String ask(InetSocketAddress at, String call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(at, WITHIN_MILLIS);
            socket.setSoTimeout(WITHIN_MILLIS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
