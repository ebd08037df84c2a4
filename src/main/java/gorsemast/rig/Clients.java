package gorsemast.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients of the fleet: each asks one request at a time of a proxy that runs, a read or a top-up, and writes down how it
 * ended. Bounded in number and pace.
 */
final class Clients {
    static final int DEADLINE_MILLIS = 3_000;
    /** An answer may be read so long after its time on a busy machine. */
    private static final int SLACK_MILLIS = 2_000;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int TOPUP_EACH = 4;

    /** How a request ended, as its client saw it. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        UNREACHED,
        CUT,
        SILENT
    }

    /**
     * @param proxy whom it was asked of
     * @param from when, in nanoseconds
     * @param until when its end was seen
     */
    record Asked(String id, boolean write, int proxy, long from, long until, End end) {}

    private final Proxies proxies;
    private final List<Thread> threads = new ArrayList<>();
    final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    private volatile boolean over;

    Clients(Proxies proxies, int many, long seed) {
        this.proxies = proxies;
        for (int i = 0; i < many; i++) {
            SplittableRandom random = new SplittableRandom(seed + i);
            String prefix = Long.toHexString(random.nextLong()) + "-";
            Thread thread = new Thread(() -> run(prefix, random), "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(String prefix, SplittableRandom random) {
        for (int i = 0; !over; i++) {
            List<Proxies.Proxy> running =
                    proxies.all.stream().filter(Proxies.Proxy::takes).toList();
            if (!running.isEmpty()) {
                Proxies.Proxy proxy = running.get(random.nextInt(running.size()));
                boolean write = i % TOPUP_EACH == 0;
                String id = prefix + i;
                long from = System.nanoTime();
                End end = ask(proxy, id, write);
                asked.add(new Asked(id, write, proxy.number, from, System.nanoTime(), end));
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    private static End ask(Proxies.Proxy proxy, String id, boolean write) {
        boolean whole = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.clients), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS + SLACK_MILLIS);
            String body = write ? "+5" : "";
            String text = (write ? "PUT" : "GET") + " /api/card-" + Math.floorMod(id.hashCode(), 64)
                    + " HTTP/1.1\r\nHost: app\r\n"
                    + "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + (write ? "topup" : "read")
                    + "\r\nX-Account: acme\r\n"
                    + "X-Time-Left: " + DEADLINE_MILLIS / 1_000 + ".000\r\nConnection: close\r\n"
                    + (write ? "Idempotency-Key: " + id + "\r\nContent-Length: " + body.length() + "\r\n" : "") + "\r\n"
                    + body;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            whole = true;
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String answer = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            if (!answer.startsWith("HTTP/1.1 ") || !answer.contains("\r\n\r\n")) {
                return End.CUT;
            }
            int status = Integer.parseInt(answer.substring(9, 12));
            return status == 200
                    ? answer.endsWith("of " + id) ? End.SERVED : End.CUT
                    : status == 503 || status == 429 ? End.REFUSED : End.FAILED;
        } catch (java.net.SocketTimeoutException e) {
            return whole ? End.SILENT : End.UNREACHED;
        } catch (IOException e) {
            return whole ? End.CUT : End.UNREACHED;
        }
    }

    /** No further request; returns when those in hand have ended. */
    void end() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
    }
}
