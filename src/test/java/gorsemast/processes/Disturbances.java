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

    /** A trouble that goes on, and how it is ended. */
    private record Lasting(int machine, long until, Runnable end) {}

    private final ProcessNetwork network;
    private final List<Lasting> lasting = new ArrayList<>();
    /** When each machine has last been in trouble, of {@link System#nanoTime}. */
    private final Map<Integer, Long> lastAt = new ConcurrentHashMap<>();
    /** Machines at which one goes on; one at a time each. */
    private final Set<Integer> going = ConcurrentHashMap.newKeySet();
    /** Machines whose processes have ended and are not started again yet. */
    private final Set<Integer> down = ConcurrentHashMap.newKeySet();

    Disturbances(ProcessNetwork network) {
        this.network = network;
    }

    /** Something has just happened to a machine: a signal, a reset. */
    void happened(int machine) {
        lastAt.put(machine, System.nanoTime());
    }

    /** A machine's processes have ended or are ending. */
    void stopped(int machine) {
        down.add(machine);
        happened(machine);
    }

    /** They are started again. */
    void started(int machine) {
        happened(machine);
        down.remove(machine);
    }

    /**
     * Whether an edge is in touch, by the operators' rules: for {@code contact} nothing has happened to it, its links or a core machine,
     * and more than half of the core runs and is connected. So a core machine that stays cut off or paused excuses nobody for longer.
     */
    boolean inTouch(int edge) {
        List<Integer> cores = network.coreMachines();
        long connected = cores.stream().filter(this::isUndisturbed).count();
        return isUndisturbed(edge)
                && isCalm(edge)
                && cores.stream().allMatch(this::isCalm)
                && 2 * connected > cores.size();
    }

    private boolean isUndisturbed(int machine) {
        return !going.contains(machine) && !down.contains(machine);
    }

    private boolean isCalm(int machine) {
        Long at = lastAt.get(machine);
        return at == null || System.nanoTime() - at >= CONTACT_NANOS;
    }

    /** Whether a pause or a cut goes on at a machine. */
    boolean goesOnAt(int machine) {
        return going.contains(machine);
    }

    /** SIGSTOP to all processes of a machine, for so long. */
    void pause(int machine, long millis) {
        trouble(machine, millis, () -> network.pause(machine), () -> network.resume(machine));
    }

    /** Cuts a machine off from these, for so long. */
    void cut(int machine, List<Integer> others, long millis) {
        trouble(
                machine,
                millis,
                () -> network.between(machine, others, network.relay()::cut),
                () -> network.between(machine, others, network.relay()::heal));
    }

    /** A trouble at a machine that lasts for so long. */
    void trouble(int machine, long millis, Runnable begin, Runnable end) {
        going.add(machine);
        begin.run();
        happened(machine);
        lasting.add(new Lasting(machine, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis), end));
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
}
