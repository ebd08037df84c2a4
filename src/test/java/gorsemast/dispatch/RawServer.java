package gorsemast.dispatch;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A server that sends what a test gives it, byte by byte. Blocking, on a port chosen by the system. */
public final class RawServer implements AutoCloseable {
    private static final int WAIT_MILLIS = 20_000;

    private final ServerSocket listener;
    private final List<Socket> open = new ArrayList<>();

    /**
     * @param backlog how many connections may wait to be accepted
     */
    public RawServer(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(WAIT_MILLIS);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    public Connection accept() throws IOException {
        Socket socket = listener.accept();
        open.add(socket);
        socket.setSoTimeout(WAIT_MILLIS);
        return new Connection(socket);
    }

    /** Fills the backlog: further connection attempts get no answer. */
    public void fillBacklog() throws IOException {
        for (int i = 0; i < 20; i++) {
            Socket socket = new Socket();
            open.add(socket);
            try {
                socket.connect(address(), 300);
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }
        throw new IOException("the listener's backlog could not be filled");
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** One connection. */
    public record Connection(Socket socket) {
        /** The next request with its head and its body by Content-Length; null at the end. */
        public String request() throws IOException {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.append((char) next);
            }
            int at = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
            int length = at < 0
                    ? 0
                    : Integer.parseInt(
                            head.substring(at + 16, head.indexOf("\r\n", at)).trim());
            return head + new String(in.readNBytes(length), StandardCharsets.US_ASCII);
        }

        /** The next {@code count} bytes; fewer at the end. */
        public String readBytes(int count) throws IOException {
            return new String(socket.getInputStream().readNBytes(count), StandardCharsets.US_ASCII);
        }

        public void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends as much as the other side takes before it closes the connection. */
        public void sendUntilClosed(String text) throws IOException {
            try {
                send(text);
            } catch (SocketException e) {
                socket.close(); // the other side rejected the beginning
            }
        }

        /** Whether the other side has closed the connection without sending anything more. */
        public boolean isClosed() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                return true;
            }
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        public void end() throws IOException {
            socket.close();
        }
    }
}
