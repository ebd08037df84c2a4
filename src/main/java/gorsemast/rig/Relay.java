package gorsemast.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Every datagram between two processes, and what goes wrong on its way.
 *
 * <p><b>Idea.</b> Each process is known to the others by an address here, its front. What it sends arrives at the
 * other's front, is told apart by whom it comes from, suffers what that link suffers, and goes on from the sender's own
 * front: so each sees the others at the addresses that all speak of. The front of a dead process whose machine is well
 * is closed, and the system refuses for it; the front of a machine that has gone is open and silent.
 *
 * <p>One thread; commands from any. Bounds: {@value #MOST_WAITING} datagrams under way, the rest is lost.
 */
final class Relay implements AutoCloseable {
    private static final int MOST_WAITING = 100_000;
    private static final int MOST_BYTES = 65_536;

    /** What a link does to what passes in one direction. */
    record Link(boolean cut, double loss, double doubled, long delayMicros, long spreadMicros) {
        static final Link GOOD = new Link(false, 0, 0, 0, 0);
    }

    private record Waiting(long at, long order, String to, String from, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final Map<String, DatagramChannel> fronts = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> real = new ConcurrentHashMap<>();
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final PriorityQueue<Waiting> waiting =
            new PriorityQueue<>(Comparator.comparingLong(Waiting::at).thenComparingLong(Waiting::order));
    private final SplittableRandom random;
    private final Thread thread;
    private volatile boolean closed;
    private long order;

    Relay(long seed) throws IOException {
        random = new SplittableRandom(seed);
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The front of a process that listens at {@code process}; the same front again after a restart. */
    synchronized InetSocketAddress open(String name, InetSocketAddress process) throws IOException {
        real.put(name, process);
        if (!fronts.containsKey(name)) {
            InetSocketAddress at =
                    addresses.getOrDefault(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            DatagramChannel front = DatagramChannel.open();
            front.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 20);
            front.bind(at);
            front.configureBlocking(false);
            addresses.put(name, (InetSocketAddress) front.getLocalAddress());
            selector.wakeup();
            front.register(selector, SelectionKey.OP_READ, name);
            fronts.put(name, front);
        }
        return addresses.get(name);
    }

    /** From now on the system refuses for this process. */
    synchronized void refuse(String name) throws IOException {
        DatagramChannel front = fronts.remove(name);
        if (front != null) {
            front.close();
            selector.wakeup(); // the channel is only let go by the next look
        }
    }

    /** Exchanges the addresses of two dead processes: what restarts takes the other's. */
    synchronized void swap(String one, String other) throws IOException {
        refuse(one);
        refuse(other);
        InetSocketAddress first = addresses.get(one);
        addresses.put(one, addresses.get(other));
        addresses.put(other, first);
    }

    void link(String from, String to, Link link) {
        links.put(from + ">" + to, link);
    }

    void heal() {
        links.clear();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
        Map<InetSocketAddress, String> known = new HashMap<>();
        while (!closed) {
            try {
                long next = waiting.isEmpty()
                        ? 50
                        : Math.max(
                                1, TimeUnit.NANOSECONDS.toMillis(waiting.peek().at() - System.nanoTime()));
                selector.select(Math.min(50, next));
                for (SelectionKey key : selector.selectedKeys()) {
                    receive(key, buffer, known);
                }
                selector.selectedKeys().clear();
                for (long now = System.nanoTime();
                        !waiting.isEmpty() && waiting.peek().at() <= now; ) {
                    forward(waiting.poll());
                }
            } catch (IOException | RuntimeException e) {
                // a front was closed under the look, or all of it
            }
        }
    }

    private void receive(SelectionKey key, ByteBuffer buffer, Map<InetSocketAddress, String> known) throws IOException {
        if (!key.isValid()) {
            return;
        }
        DatagramChannel front = (DatagramChannel) key.channel();
        String to = (String) key.attachment();
        for (int i = 0; i < 64; i++) {
            buffer.clear();
            InetSocketAddress sender;
            try {
                sender = (InetSocketAddress) front.receive(buffer);
            } catch (IOException e) {
                return; // an answer of the system to a datagram that was sent before
            }
            if (sender == null) {
                return;
            }
            String from = known.get(sender);
            if (from == null || !sender.equals(real.get(from))) {
                known.clear();
                real.forEach((name, address) -> known.put(address, name));
                from = known.get(sender);
            }
            Link link = from == null ? null : links.getOrDefault(from + ">" + to, Link.GOOD);
            if (link == null || link.cut() || random.nextDouble() < link.loss() || waiting.size() >= MOST_WAITING) {
                continue; // an inquiry from a socket of its own, or lost
            }
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            int copies = random.nextDouble() < link.doubled() ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long delay = link.delayMicros() + (link.spreadMicros() == 0 ? 0 : random.nextLong(link.spreadMicros()));
                Waiting one = new Waiting(System.nanoTime() + delay * 1_000, order++, to, from, bytes);
                if (delay == 0) {
                    forward(one);
                } else {
                    waiting.add(one);
                }
            }
        }
    }

    private void forward(Waiting one) {
        DatagramChannel front = fronts.get(one.from());
        InetSocketAddress process = real.get(one.to());
        if (front != null && process != null && fronts.containsKey(one.to())) {
            try {
                front.send(ByteBuffer.wrap(one.bytes()), process);
            } catch (IOException e) {
                return; // lost
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (DatagramChannel front : fronts.values()) {
            front.close();
        }
        selector.close();
    }
}
