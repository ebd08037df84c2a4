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
 * Clients of the fleet: each sends one request at a time, a read or a top-up, to a running proxy and records its outcome.
 * Bounded in number and rate.
 */
final class Clients {
    static final int DEADLINE_MILLIS = 3_000;
    /** Additional time for reading a response on a busy machine. */
    private static final int SLACK_MILLIS = 2_000;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int REQUESTS_PER_TOPUP = 4;

    /** Outcome of a request as its client observed it. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        UNREACHED,
        CUT,
        SILENT
    }

    /**
     * @param proxy number of the proxy that received the request
     * @param from start in nanoseconds
     * @param until when its outcome was observed
     */
    record RequestRecord(String id, boolean write, int proxy, long from, long until, Outcome outcome) {}

    private final Proxies proxies;
    private final List<Thread> threads = new ArrayList<>();
    final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private volatile boolean stopping;

    Clients(Proxies proxies, int count, long seed) {
        this.proxies = proxies;
        for (int i = 0; i < count; i++) {
            SplittableRandom random = new SplittableRandom(seed + i);
            String prefix = Long.toHexString(random.nextLong()) + "-";
            Thread thread = new Thread(() -> run(prefix, random), "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(String prefix, SplittableRandom random) {
        for (int i = 0; !stopping; i++) {
            List<Proxies.Proxy> running =
                    proxies.all.stream().filter(Proxies.Proxy::acceptsClients).toList();
            if (!running.isEmpty()) {
                Proxies.Proxy proxy = running.get(random.nextInt(running.size()));
                boolean write = i % REQUESTS_PER_TOPUP == 0;
                String id = prefix + i;
                long from = System.nanoTime();
                Outcome outcome = send(proxy, id, write);
                records.add(new RequestRecord(id, write, proxy.number, from, System.nanoTime(), outcome));
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    private static Outcome send(Proxies.Proxy proxy, String id, boolean write) {
        boolean requestWritten = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.clientPort), 1_000);
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
            requestWritten = true;
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String answer = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            if (!answer.startsWith("HTTP/1.1 ") || !answer.contains("\r\n\r\n")) {
                return Outcome.CUT;
            }
            int status = Integer.parseInt(answer.substring(9, 12));
            return status == 200
                    ? answer.endsWith("of " + id) ? Outcome.SERVED : Outcome.CUT
                    : status == 503 || status == 429 ? Outcome.REFUSED : Outcome.FAILED;
        } catch (java.net.SocketTimeoutException e) {
            return requestWritten ? Outcome.SILENT : Outcome.UNREACHED;
        } catch (IOException e) {
            return requestWritten ? Outcome.CUT : Outcome.UNREACHED;
        }
    }

    /** Stops issuing requests and waits for those in flight. */
    void stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
    }
}
