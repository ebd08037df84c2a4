package gorsemast.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay between machines. Each ordered pair of machines has listeners of its own, so that a connection's dialer is
 * known by where it arrives; each direction of a pair has a state.
 *
 * <p>A held direction keeps its bytes in the sockets' buffers, in order, and passes them on after the heal, as a network
 * does whose packets are sent again; a sender that reads no acknowledgement is held up by the window in the end. While
 * either direction of a pair is held, a new connection does not come up: the listener's queue is kept full, so that the
 * system drops the opening packets. {@link #reset} breaks what is open and each new connection; {@link #refuse} has no
 * listener.
 *
 * <p>One thread does all of it; the public methods may be called from any other thread and return when it is done.
 */
final class LinkRelay implements AutoCloseable {
    private static final int QUEUE = 1;
    /** One more than a queue of {@link #QUEUE} takes, and one for a connection that was just accepted. */
    private static final int FILLERS = QUEUE + 2;

    private static final long PATIENCE_SECONDS = 10;

    /** What happens to a pair of machines, both ways unless said otherwise. */
    private enum Manner {
        PASSES,
        RESETS,
        REFUSES
    }

    /** A place at which {@code way.from} reaches a port of {@code way.to}. */
    private static final class Entrance {
        private final Way way;
        private final InetSocketAddress at;
        private final InetSocketAddress leadsTo;
        private final List<SocketChannel> fillers = new ArrayList<>();
        private ServerSocketChannel listener;

        Entrance(Way way, InetSocketAddress at, InetSocketAddress leadsTo) {
            this.way = way;
            this.at = at;
            this.leadsTo = leadsTo;
        }
    }

    private final Selector selector = Selector.open();
    private final List<Entrance> entrances = new ArrayList<>();
    private final List<Half> halves = new ArrayList<>();
    private final Set<Way> held = new HashSet<>();
    private final Map<Way, Manner> manners = new HashMap<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "link-relay");
    private volatile boolean closed;

    LinkRelay() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on {@code from} reaches {@code leadsTo}, a service of the machine {@code to}, at {@code at}. */
    void open(String from, String to, String service, InetSocketAddress at, InetSocketAddress leadsTo) {
        call(() -> {
            Entrance entrance = new Entrance(new Way(from, to, service), at, leadsTo);
            listen(entrance);
            entrances.add(entrance);
        });
    }

    /** How many connections are open that one machine has dialled to a service of another. */
    int connections(String from, String to, String service) {
        int[] open = new int[1];
        Way way = new Way(from, to, service);
        call(() -> open[0] =
                (int) halves.stream().filter(half -> half.way.equals(way)).count());
        return open[0];
    }

    /** Holds all bytes from one machine to another, and new connections of both, until {@link #heal}. */
    void hold(String from, String to) {
        hold(from, to, null);
    }

    /** Holds both directions: a cut that says nothing. */
    void cut(String one, String other) {
        cut(one, other, null);
    }

    /** The same for connections to this service alone, whichever of the two has dialled. */
    void cut(String one, String other, String service) {
        hold(one, other, service);
        hold(other, one, service);
    }

    private void hold(String from, String to, String service) {
        call(() -> {
            for (Entrance entrance : entrances) {
                Way way = entrance.way;
                if (way.between(from, to) && (service == null || service.equals(way.service()))) {
                    held.add(new Way(from, to, way.service()));
                }
            }
            settle();
        });
    }

    /** Resets what is open between two machines and each new connection, until {@link #heal}. */
    void reset(String one, String other) {
        change(one, other, Manner.RESETS);
    }

    /** Resets what is open between two machines and refuses new connections, until {@link #heal}. */
    void refuse(String one, String other) {
        change(one, other, Manner.REFUSES);
    }

    private void change(String one, String other, Manner manner) {
        call(() -> {
            for (Entrance entrance : entrances) {
                if (entrance.way.between(one, other)) {
                    manners.put(entrance.way, manner);
                }
            }
            for (Half half : List.copyOf(halves)) {
                if (half.way.between(one, other)) {
                    abort(half);
                }
            }
            settle();
        });
    }

    /** Everything passes again; what was held goes on its way first. */
    void heal() {
        call(() -> {
            held.clear();
            manners.clear();
            settle();
        });
    }

    /** The same between two machines alone. */
    void heal(String one, String other) {
        call(() -> {
            held.removeIf(way -> way.between(one, other));
            manners.keySet().removeIf(way -> way.between(one, other));
            settle();
        });
    }

    // ---- on the relay's own thread

    private interface Task {
        void run() throws IOException;
    }

    private void call(Task task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        tasks.add(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (IOException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        selector.wakeup();
        done.orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS).join();
    }

    private void run() {
        while (!closed) {
            try {
                selector.select();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    serve(key);
                }
                selector.selectedKeys().clear();
            } catch (IOException | CancelledKeyException e) {
                selector.selectedKeys().clear(); // a channel was closed under the look
            }
        }
    }

    private boolean held(Way way) {
        return held.contains(way);
    }

    private boolean hangs(Way way) {
        return held(way) || held(way.back());
    }

    private Manner manner(Way way) {
        return manners.getOrDefault(way, Manner.PASSES);
    }

    private void listen(Entrance entrance) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(entrance.at, QUEUE);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT, entrance);
        entrance.listener = listener;
    }

    /** Has all listeners and sockets wait for what their pairs' states allow. */
    private void settle() throws IOException {
        for (Entrance entrance : entrances) {
            boolean refuses = manner(entrance.way) == Manner.REFUSES;
            if (refuses && entrance.listener != null) {
                entrance.listener.close();
                entrance.listener = null;
                selector.selectNow(); // lets the closed one go
                selector.selectedKeys().clear();
            } else if (!refuses && entrance.listener == null) {
                listen(entrance);
            }
            if (entrance.listener != null) {
                fill(entrance, hangs(entrance.way));
            }
        }
        for (Half half : List.copyOf(halves)) {
            if (half.broken && !hangs(half.way)) {
                abort(half);
            } else {
                interest(half);
            }
        }
    }

    /** Keeps a listener's queue full with connections of the relay's own, or takes them out again. */
    private void fill(Entrance entrance, boolean full) throws IOException {
        if (full && entrance.fillers.isEmpty()) {
            accept(entrance);
            entrance.listener.keyFor(selector).interestOps(0);
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(entrance.at);
                entrance.fillers.add(filler);
            }
        } else if (!full && !entrance.fillers.isEmpty()) {
            for (SocketChannel filler : entrance.fillers) {
                filler.close(); // what is accepted of them is at its end, and is relayed to nobody for long
            }
            entrance.fillers.clear();
            accept(entrance); // a full queue would drop the next opening packet, which is sent again after a second
            entrance.listener.keyFor(selector).interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    private void serve(SelectionKey key) throws IOException {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof Entrance entrance) {
            accept(entrance);
            return;
        }
        Half half = (Half) key.attachment();
        try {
            if (key.isConnectable()) {
                half.socket.finishConnect();
                half.connected = true;
            }
            if (key.isReadable()) {
                half.ended |= half.socket.read(half.waiting) < 0;
            }
            pass(half);
            pass(half.other);
            if (half.ended && half.other.ended && half.waiting.position() == 0 && half.other.waiting.position() == 0) {
                close(half);
            }
        } catch (IOException e) {
            if (hangs(half.way)) {
                half.broken = true;
                half.other.broken = true;
                interest(half);
                interest(half.other);
            } else {
                abort(half);
            }
        }
    }

    private void accept(Entrance entrance) throws IOException {
        for (SocketChannel near = entrance.listener.accept(); near != null; near = entrance.listener.accept()) {
            near.configureBlocking(false);
            near.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (manner(entrance.way) == Manner.RESETS) {
                near.setOption(StandardSocketOptions.SO_LINGER, 0);
                near.close();
                continue;
            }
            SocketChannel far = SocketChannel.open();
            far.configureBlocking(false);
            far.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Half there = new Half(entrance.way, near, true);
            Half back = new Half(entrance.way.back(), far, false);
            there.other = back;
            back.other = there;
            try {
                back.connected = far.connect(entrance.leadsTo);
            } catch (IOException e) {
                near.setOption(StandardSocketOptions.SO_LINGER, 0);
                near.close();
                far.close();
                continue;
            }
            near.register(selector, 0, there);
            far.register(selector, 0, back);
            halves.add(there);
            halves.add(back);
            interest(there);
            interest(back);
        }
    }

    /** Writes what one half has read to the other's socket, as far as that takes it. */
    private void pass(Half half) throws IOException {
        Half to = half.other;
        if (to.connected && !held(half.way)) {
            half.waiting.flip();
            to.socket.write(half.waiting);
            half.waiting.compact();
            if (half.ended && half.waiting.position() == 0) {
                to.socket.shutdownOutput();
            }
        }
        interest(half);
        interest(to);
    }

    private void interest(Half half) {
        SelectionKey key = half.socket.keyFor(selector);
        if (key == null || !key.isValid()) {
            return;
        }
        int wants = 0;
        if (half.broken) {
            wants = 0;
        } else if (!half.connected) {
            wants |= SelectionKey.OP_CONNECT;
        } else {
            if (!half.ended && !held(half.way) && half.waiting.hasRemaining()) {
                wants |= SelectionKey.OP_READ;
            }
            if (half.other.waiting.position() > 0 && !held(half.other.way)) {
                wants |= SelectionKey.OP_WRITE;
            }
        }
        key.interestOps(wants);
    }

    private void abort(Half half) {
        for (Half one : new Half[] {half, half.other}) {
            try {
                one.socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                half.broken = true; // it is closed already
            }
        }
        close(half);
    }

    private void close(Half half) {
        for (Half one : new Half[] {half, half.other}) {
            halves.remove(one);
            try {
                one.socket.close();
            } catch (IOException e) {
                one.broken = true; // it is closed all the same
            }
        }
    }

    @Override
    public void close() throws IOException {
        call(() -> {
            closed = true;
            for (Entrance entrance : entrances) {
                for (SocketChannel filler : entrance.fillers) {
                    filler.close();
                }
                if (entrance.listener != null) {
                    entrance.listener.close();
                }
            }
            for (Half half : List.copyOf(halves)) {
                close(half);
            }
        });
        try {
            thread.join(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }
}
