package gorsemast.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Which machines are in trouble or have been of late, and troubles that end by themselves: pauses and cuts. Changed by one caller; asked
 * from any thread.
 */
final class Disturbances {
    /** {@code contact}. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int FIRST_EDGE = 20;

    /** A trouble that goes on, and how it is ended. */
    private record Lasting(int machine, long until, Runnable end) {}

    private final ProcessNetwork network;
    private final List<Lasting> lasting = new ArrayList<>();
    /** When each machine has last been in trouble, of {@link System#nanoTime}. */
    private final Map<Integer, Long> lastAt = new ConcurrentHashMap<>();
    /** Machines at which one goes on; one at a time each. */
    private final Set<Integer> going = ConcurrentHashMap.newKeySet();

    Disturbances(ProcessNetwork network) {
        this.network = network;
    }

    /** Something has just happened to a machine: a signal, an end, a start. */
    void happened(int machine) {
        lastAt.put(machine, System.nanoTime());
    }

    /** Whether nothing has happened of late to this edge or to any core machine. */
    boolean inTouch(int edge) {
        return lastAt.keySet().stream()
                .filter(machine -> machine == edge || machine < FIRST_EDGE)
                .noneMatch(
                        machine -> going.contains(machine) || System.nanoTime() - lastAt.get(machine) < CONTACT_NANOS);
    }

    /** Whether a pause or a cut goes on at a machine. */
    boolean goesOnAt(int machine) {
        return going.contains(machine);
    }

    /** SIGSTOP to all processes of a machine, for so long. */
    void pause(int machine, long millis) {
        network.pause(machine);
        begin(machine, millis, () -> network.resume(machine));
    }

    /** Cuts a machine off from these, for so long. */
    void cut(int machine, List<Integer> others, long millis) {
        network.between(machine, others, network.relay()::cut);
        begin(machine, millis, () -> network.between(machine, others, network.relay()::heal));
    }

    /** Resets all connections between a machine and these, once. */
    void reset(int machine, List<Integer> others) {
        network.between(machine, others, network.relay()::reset);
        network.between(machine, others, network.relay()::heal);
        happened(machine);
    }

    /** Ends what is over; to be called often. */
    void poll() {
        end(System.nanoTime());
    }

    /** Ends all. */
    void endAll() {
        end(Long.MAX_VALUE);
    }

    private void end(long now) {
        for (Lasting one : List.copyOf(lasting)) {
            if (one.until <= now) {
                lasting.remove(one);
                one.end.run();
                happened(one.machine);
                going.remove(one.machine);
            }
        }
    }

    private void begin(int machine, long millis, Runnable end) {
        happened(machine);
        going.add(machine);
        lasting.add(new Lasting(machine, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis), end));
    }
}
