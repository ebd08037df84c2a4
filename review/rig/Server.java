package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Semaphore;

/**
 * A stand-in server: one instance of a service. It beats at the core machines, answers 421 to requests for another
 * instance, and works on as many requests at a time as it has slots.
 */
public final class Server implements AutoCloseable {
    /** What a request gives, once it has a slot. */
    public interface Work {
        /** Runs a request and returns the whole answer's head lines and body. */
        Answer run(Server server, Http.Message request) throws InterruptedException;
    }

    /** An answer that carries the server's seal. */
    public record Answer(int status, List<String> headerLines, byte[] body) {}

    private static final int BEAT_MILLIS = 1_500;
    /** From this size on it is recorded when an answer has been written. */
    private static final int LONG_ANSWER_BYTES = 100_000;

    private final Record record;
    private final Network network;
    private final String id;
    private final String service;
    private final int zone;
    private final int capacity;
    private final int cores;
    private final String ip;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final Work work;
    private volatile boolean closed;
    private volatile String state = "ready";
    private int callSeq;
    private int beatsAt;

    /** Starts a server on the machine with this number. */
    public Server(
            Record record, Network network, String id, String service, int machine, int zone, int capacity, int cores, Work work)
            throws IOException {
        this.record = record;
        this.network = network;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        this.cores = cores;
        this.ip = network.ip(machine);
        this.slots = new Semaphore(capacity, true);
        this.work = work;
        this.beatsAt = 1 + machine % cores;
        listener = new ServerSocket(network.serverPort(), 512, InetAddress.getByName(ip));
        daemon(this::accept);
        daemon(this::beats);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    /** Its id. */
    public String id() {
        return id;
    }

    private void beats() {
        try {
            while (!closed) {
                Http.Message answer = network.call(
                        beatsAt,
                        "POST",
                        "/v1/nodes/" + id + "/heartbeat",
                        "{\"backend\":\"" + service + "\",\"address\":\"" + ip + ':' + network.serverPort()
                                + "\",\"zone\":\"zone-" + zone + "\",\"configVersion\":\"v1\",\"capacity\":" + capacity
                                + ",\"state\":\"" + state + "\",\"warmupLeft\":\"0ms\",\"callSeq\":" + ++callSeq + '}',
                        1_000);
                if (answer.status() / 100 == 2) {
                    Thread.sleep(BEAT_MILLIS);
                } else {
                    beatsAt = 1 + beatsAt % cores;
                    Thread.sleep(200);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (Http http = new Http(socket)) {
            http.readTimeout(10_000);
            for (Http.Message request = http.read(); request != null && !closed; request = http.read()) {
                String attempt = request.header("Attempt-Id");
                String target = request.header("Target-Instance");
                String identified = attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n";
                if (target != null && !target.equals(id)) {
                    http.write("HTTP/1.1 421 Misdirected Request\r\n" + identified
                            + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                slots.acquire();
                Answer answer;
                try {
                    answer = work.run(this, request);
                } finally {
                    slots.release();
                }
                StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status + " x\r\n" + identified
                        + "Edge-Seal: " + id + ".0\r\nContent-Length: " + answer.body.length + "\r\n");
                answer.headerLines.forEach(line -> head.append(line).append("\r\n"));
                byte[] first = head.append("\r\n").toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
                byte[] whole = java.util.Arrays.copyOf(first, first.length + answer.body.length);
                System.arraycopy(answer.body, 0, whole, first.length, answer.body.length);
                http.write(whole);
                if (whole.length > LONG_ANSWER_BYTES) {
                    record.line("server %s has written the whole answer to %s, %d bytes", id, attempt, whole.length);
                }
            }
        } catch (IOException e) {
            // the caller left
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
