import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A sound server of one service, in this process: beats, works on requests and answers each with its id and a stamp. */
class Server implements AutoCloseable {
    /** A request that it has worked on. */
    record Run(String attempt, String method, String uri, int bodyBytes, int bodyHash, long startedAt) {}

    final String id;
    final String service;
    final String zone;
    final ServerSocket listener;
    /** Where it sends its calls, in this order. */
    volatile List<InetSocketAddress> controls;
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final Semaphore slots;
    final int capacity;
    final int port;
    volatile long workMillis;
    volatile int answerBytes = 400;
    volatile String state = "ready";
    volatile boolean beats = true;
    private final AtomicLong callSeq = new AtomicLong();
    private volatile boolean open = true;

    Server(String id, String service, String zone, String ip, int port, int capacity, long workMillis,
            List<InetSocketAddress> controls) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.controls = controls;
        this.capacity = capacity;
        this.slots = new Semaphore(capacity);
        this.workMillis = workMillis;
        listener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        this.port = listener.getLocalPort();
        daemon(this::accept);
        daemon(this::beat);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (open) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Sends one beat; returns whether it was acknowledged. */
    boolean beatOnce() {
        String body = "{\"backend\":\"" + service + "\",\"address\":\"" + listener.getInetAddress().getHostAddress() + ':'
                + port + "\",\"zone\":\"" + zone + "\",\"configVersion\":\"v1\",\"capacity\":" + capacity
                + ",\"state\":\"" + state + "\",\"warmupLeft\":\"0ms\",\"callSeq\":" + callSeq.incrementAndGet() + "}";
        for (InetSocketAddress control : controls) {
            if (Net.call(control, "POST", "/v1/nodes/" + id + "/heartbeat", body, 1_000).status() / 100 == 2) {
                return true;
            }
        }
        return false;
    }

    private void beat() {
        try {
            while (open) {
                boolean done = !beats || beatOnce();
                Thread.sleep(done ? 1_500 : 100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            while (open) {
                String head = Net.readHead(in);
                String[] line = head.substring(0, head.indexOf("\r\n")).split(" ");
                String length = Net.header(head, "Content-Length");
                byte[] body = Net.readExactly(in, length == null ? 0 : Integer.parseInt(length));
                answer(socket, line[0], line[1], head, body);
            }
        } catch (IOException | InterruptedException e) {
            // the caller closed the connection
        }
    }

    /** Works on a whole request and answers it. */
    void answer(Socket socket, String method, String uri, String head, byte[] body)
            throws IOException, InterruptedException {
        String attempt = Net.header(head, "Attempt-Id");
        String target = Net.header(head, "Target-Instance");
        if (target != null && !target.equals(id)) {
            write(socket, "421 Misdirected Request", attempt, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (!slots.tryAcquire()) {
            write(socket, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        try {
            runs.add(new Run(attempt, method, uri, body.length, java.util.Arrays.hashCode(body), System.nanoTime()));
            Thread.sleep(workMillis);
        } finally {
            slots.release();
        }
        write(socket, "200 OK", attempt, "Edge-Seal: " + id + "\r\n" + headers(uri), content(attempt, uri));
    }

    String headers(String uri) {
        return "";
    }

    /** The answer's body: its attempt and address, again and again. */
    byte[] content(String attempt, String uri) {
        return fill(attempt + " " + uri + "\n", answerBytes);
    }

    static byte[] fill(String unit, int bytes) {
        byte[] one = unit.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            all[i] = one[i % one.length];
        }
        return all;
    }

    static void write(Socket socket, String status, String attempt, String headers, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n") + headers
                        + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    @Override
    public void close() {
        open = false;
        try {
            listener.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
