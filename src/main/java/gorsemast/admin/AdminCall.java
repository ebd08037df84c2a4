package gorsemast.admin;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;

/** One call at a proxy's second address, for tools; blocks. */
public final class AdminCall {
    private static final int WITHIN_MILLIS = 2_000;

    private AdminCall() {
    }

    /** All that is answered; at most two seconds for each read. */
    public static String ask(InetSocketAddress at, String call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(at, WITHIN_MILLIS);
            socket.setSoTimeout(WITHIN_MILLIS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** An address in numbers; null where it is none. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            return ip == null ? null : new InetSocketAddress(InetAddress.getByAddress(ip),
                Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | UnknownHostException e) {
            return null;
        }
    }
}
