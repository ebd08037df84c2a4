import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A relay between machines: each way from one machine to a port of another has a listener of its own. A cut holds all bytes
 * of both directions, and new connections, until the heal.
 */
final class Relay implements AutoCloseable {
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<ServerSocket> listeners = ConcurrentHashMap.newKeySet();
    /** Connections that carry bytes now, by "from>to". */
    private final ConcurrentHashMap<String, AtomicInteger> open = new ConcurrentHashMap<>();

    void route(String from, String to, String ip, int at, int leadsTo) throws IOException {
        ServerSocket listener = new ServerSocket(at, 200, InetAddress.getByName(ip));
        listeners.add(listener);
        Server.daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket dialled = listener.accept();
                    sockets.add(dialled);
                    Server.daemon(() -> carry(from, to, dialled, new InetSocketAddress(ip, leadsTo)));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    void cut(String one, String other) {
        cut.add(pair(one, other));
    }

    void heal() {
        cut.clear();
    }

    int open(String from, String to) {
        AtomicInteger count = open.get(from + ">" + to);
        return count == null ? 0 : count.get();
    }

    private void pass(String pair) throws InterruptedException {
        while (cut.contains(pair)) {
            Thread.sleep(5);
        }
    }

    private void carry(String from, String to, Socket dialled, InetSocketAddress target) {
        String pair = pair(from, to);
        AtomicInteger count = open.computeIfAbsent(from + ">" + to, name -> new AtomicInteger());
        try (dialled;
                Socket onward = new Socket()) {
            pass(pair);
            onward.connect(target, 1_000);
            sockets.add(onward);
            dialled.setTcpNoDelay(true);
            onward.setTcpNoDelay(true);
            count.incrementAndGet();
            Thread back = Server.daemon(() -> pump(pair, onward, dialled));
            pump(pair, dialled, onward);
            back.join();
            count.decrementAndGet();
        } catch (IOException | InterruptedException e) {
            // the other side is not there
        }
        sockets.remove(dialled);
    }

    private void pump(String pair, Socket one, Socket other) {
        try {
            InputStream in = one.getInputStream();
            OutputStream out = other.getOutputStream();
            byte[] bytes = new byte[65_536];
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                pass(pair);
                out.write(bytes, 0, n);
                out.flush();
            }
            pass(pair);
        } catch (IOException | InterruptedException e) {
            // closed
        }
        try {
            one.close();
            other.close();
        } catch (IOException e) {
            // closed already
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
