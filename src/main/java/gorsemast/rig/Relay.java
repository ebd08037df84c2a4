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
 * Relays every datagram between two processes and applies link faults.
 *
 * <p>Each process is known to the others by a relay address, its front. A datagram arrives at the receiver's front, is
 * assigned to a link by its source address, is subjected to that link's faults and is forwarded from the sender's own front,
 * so that all processes see each other at their advertised addresses. The front of a dead process on a healthy machine is
 * closed, so that the operating system refuses for it; the front of a machine that has disappeared stays open and silent.
 *
 * <p>Forwards on one thread; methods may be called from any. At most {@value #MOST_WAITING} datagrams are delayed at a time; any beyond that are dropped.
 */
final class Relay implements AutoCloseable {
    private static final int MAX_DELAYED = 100_000;
    private static final int MAX_DATAGRAM_BYTES = 65_536;

    /** Faults of a link in one direction. */
    record Link(boolean cut, double loss, double duplication, long delayMicros, long jitterMicros) {
        static final Link GOOD = new Link(false, 0, 0, 0, 0);
    }

    private record Delayed(long at, long order, String to, String from, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final Map<String, DatagramChannel> fronts = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> processAddresses = new ConcurrentHashMap<>();
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingLong(Delayed::at).thenComparingLong(Delayed::order));
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

    /** Opens the front of a process that listens at {@code process}; the address is the same after a restart. */
    synchronized InetSocketAddress open(String name, InetSocketAddress process) throws IOException {
        processAddresses.put(name, process);
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

    /** Closes the front of a process, so that the operating system refuses for it. */
    synchronized void refuse(String name) throws IOException {
        DatagramChannel front = fronts.remove(name);
        if (front != null) {
            front.close();
            selector.wakeup(); // the selector releases the channel only at its next select
        }
    }

    /** Exchanges the addresses of two dead processes before their restart. */
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
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        Map<InetSocketAddress, String> senderNames = new HashMap<>();
        while (!closed) {
            try {
                long next = delayed.isEmpty()
                        ? 50
                        : Math.max(
                                1, TimeUnit.NANOSECONDS.toMillis(delayed.peek().at() - System.nanoTime()));
                selector.select(Math.min(50, next));
                for (SelectionKey key : selector.selectedKeys()) {
                    receive(key, buffer, senderNames);
                }
                selector.selectedKeys().clear();
                for (long now = System.nanoTime();
                        !delayed.isEmpty() && delayed.peek().at() <= now; ) {
                    forward(delayed.poll());
                }
            } catch (IOException | RuntimeException e) {
                // a front, or the whole relay, was closed during select
            }
        }
    }

    private void receive(SelectionKey key, ByteBuffer buffer, Map<InetSocketAddress, String> senderNames)
            throws IOException {
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
                return; // an ICMP error for an earlier datagram
            }
            if (sender == null) {
                return;
            }
            String from = senderNames.get(sender);
            if (from == null || !sender.equals(processAddresses.get(from))) {
                senderNames.clear();
                processAddresses.forEach((name, address) -> senderNames.put(address, name));
                from = senderNames.get(sender);
            }
            Link link = from == null ? null : links.getOrDefault(from + ">" + to, Link.GOOD);
            if (link == null || link.cut() || random.nextDouble() < link.loss() || delayed.size() >= MAX_DELAYED) {
                continue; // a probe from a separate socket, or lost
            }
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            int copies = random.nextDouble() < link.duplication() ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long delay = link.delayMicros() + (link.jitterMicros() == 0 ? 0 : random.nextLong(link.jitterMicros()));
                Delayed datagram = new Delayed(System.nanoTime() + delay * 1_000, order++, to, from, bytes);
                if (delay == 0) {
                    forward(datagram);
                } else {
                    delayed.add(datagram);
                }
            }
        }
    }

    private void forward(Delayed datagram) {
        DatagramChannel front = fronts.get(datagram.from());
        InetSocketAddress process = processAddresses.get(datagram.to());
        if (front != null && process != null && fronts.containsKey(datagram.to())) {
            try {
                front.send(ByteBuffer.wrap(datagram.bytes()), process);
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
