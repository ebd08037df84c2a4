package gorsemast.modelcheck;

import gorsemast.modelcheck.ConfigurationChecker.Update;
import gorsemast.node.FaultTolerance;
import gorsemast.store.Location;
import gorsemast.store.Member;
import gorsemast.store.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Simulates members of a store under faults: processes that are killed, freeze or leave, disks that stall or are lost, links
 * that are cut or break.
 *
 * <p>It checks the rules of {@link ConfigurationChecker}, that a read never returns less than was acknowledged before it was
 * sent nor what nobody sent, and that after recovery a read returns at least the newest acknowledged version. Deterministic
 * by its seed. Single-threaded.
 */
final class StoreSimulation extends StoreMembers {
    /** A violated rule. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String text) {
            super(text);
        }
    }

    /** For how many contested numbers the updates are resent in the end. */
    private static final int SENT_AGAIN = 4;

    private String lost;
    private long lostSince;
    private long steadySince;

    /** Starts members on empty disks, as at the system's first start, and spare machines that are no members. */
    StoreSimulation(int members, int spares, long seed, StoreDefect defect) {
        this(members, spares, FaultTolerance.ofMachines(1), Map.of(), seed, defect);
    }

    /** The same with the losses to tolerate and the machines' locations by name. */
    StoreSimulation(
            int members,
            int spares,
            FaultTolerance tolerance,
            Map<String, Location> places,
            long seed,
            StoreDefect defect) {
        super(members, spares, tolerance, places, seed, defect);
    }

    /** Records events from now on, see {@link #eventLog}. */
    StoreSimulation recordingEvents() {
        eventLog = new ArrayList<>();
        return this;
    }

    /** A process is killed, or its machine loses power. */
    void kill(String ip, boolean power) {
        if (machines.get(ip).replica != null) {
            tell(ip + (power ? " loses power" : " is killed"));
            machines.get(ip).kill(power);
        }
    }

    /** Starts a machine that is down. */
    void start(String ip) {
        ModelMachine machine = machines.get(ip);
        if (machine.replica == null && !machine.gone) {
            tell(ip + " starts");
            machine.start();
            greet(machine);
            if (ip.equals(lost)) {
                lostSince = now;
            }
        }
    }

    /** Loses a disk unless another one is lost or has only just come back: one may be lost at a time. */
    void wipe(String ip) {
        ModelMachine machine = machines.get(ip);
        boolean whole = lost == null || machines.get(lost).replica != null && now - lostSince > 4_000_000;
        if (whole && allUp(ip)) {
            tell(ip + " loses its disk");
            machine.kill(true);
            machine.disk.wipe();
            lost = ip;
            lostSince = now;
        }
    }

    /** Links come up by each process's list of core machines: each side sends a first message. */
    private void greet(ModelMachine started) {
        for (String ip : ips) {
            ModelMachine other = machines.get(ip);
            if (other != started && other.replica != null) {
                started.send(new Member("", ip), started.replica.heartbeat());
                other.send(new Member("", started.ip), other.replica.heartbeat());
            }
        }
    }

    /** Adds a machine that is not started yet; returns its name. */
    String add() {
        String ip = "m" + (ips.size() + 1);
        ips.add(ip);
        machines.put(ip, new ModelMachine(this, ip));
        return ip;
    }

    /** A machine is removed for good, with its disk. */
    void remove(String ip) {
        tell(ip + " is removed");
        ModelMachine machine = machines.get(ip);
        if (machine.replica != null) {
            machine.kill(true);
        }
        machine.disk.wipe();
        machine.gone = true;
    }

    /** A machine loses its disk, whatever else is lost. */
    void lose(String ip) {
        tell(ip + " loses its disk");
        ModelMachine machine = machines.get(ip);
        if (machine.replica != null) {
            machine.kill(true);
        }
        machine.disk.wipe();
    }

    /** All processes are killed and come back at once. */
    void quietKill() {
        List<String> running =
                ips.stream().filter(ip -> machines.get(ip).replica != null).toList();
        running.forEach(ip -> kill(ip, false));
        running.forEach(this::start);
    }

    /** A machine is asked to leave. */
    void ask(String ip) {
        machines.get(ip).replica.leave(now);
        settle();
    }

    /** Whether a machine that was asked to leave may stop. */
    boolean left(String ip) {
        return machines.get(ip).replica.mayStop(now);
    }

    /** Asks a machine to leave; it ends as soon as it may or after the grace time. Returns how long that took. */
    long leave(String ip, long grace) {
        tell(ip + " leaves");
        long from = now;
        Replica replica = machines.get(ip).replica;
        ask(ip);
        boolean rough = random.nextBoolean();
        do {
            if (rough) {
                rough(STEP_MICROS);
            } else {
                quiet();
                tick();
            }
        } while (!(defect == StoreDefect.LEAVES_AT_ONCE || replica.mayStop(now)) && now - from < grace);
        kill(ip, false);
        return now - from;
    }

    /** How long it takes until a read, sent to all running machines every 0.1 s, is answered; -1 for never. */
    long readAnswers(long within) {
        long from = now;
        int before = answered();
        while (now - from < within) {
            ips.forEach(this::get);
            for (int i = 0; i < 4; i++) {
                quiet();
                tick();
                if (answered() > before) {
                    return now - from;
                }
            }
        }
        return -1;
    }

    private boolean allUp(String but) {
        return ips.stream()
                        .allMatch(ip -> ip.equals(but)
                                || machines.get(ip).disk.held() == null
                                || machines.get(ip).replica != null && !machines.get(ip).frozen)
                && links.whole()
                && machines.get(but).disk.held() != null
                && steadySince < now - 4_000_000;
    }

    /** Freezes a process, or resumes it. */
    void freeze(String ip, boolean does) {
        tell(ip + (does ? " freezes" : " wakes"));
        if (does) {
            machines.get(ip).frozen = machines.get(ip).replica != null;
        } else if (machines.get(ip).frozen) {
            machines.get(ip).wake();
        }
    }

    /** Stalls a disk, as one that hangs or is full, or lets it work again. */
    void stall(String ip, boolean does) {
        tell(ip + (does ? "'s disk stalls" : "'s disk works"));
        machines.get(ip).disk.stall(does);
    }

    /** One direction between two machines is cut or restored. */
    void cut(String from, String to, boolean does) {
        links.cut(from, to, does);
        if (does) {
            tell(from + " does not reach " + to);
        }
    }

    /** Cuts a machine off from all others, or reconnects it. */
    void isolate(String ip, boolean does) {
        for (String other : ips) {
            if (!other.equals(ip)) {
                cut(ip, other, does);
                cut(other, ip, does);
            }
        }
    }

    /** All lose power at once and come back. */
    void restartAll() {
        ips.forEach(ip -> kill(ip, true));
        ips.forEach(this::start);
    }

    /** A link breaks and loses what was on it. */
    void breakLink(String from, String to) {
        links.breakLink(from, to);
    }

    /** Removes all faults, lets everything pending complete, and checks that a read answers. */
    void heal() {
        links.mend();
        for (String ip : ips) {
            machines.get(ip).frozen = false;
            machines.get(ip).disk.stall(false);
            start(ip);
        }
        long until = now + LONG_MICROS;
        while (now < until) {
            quiet();
            tick();
        }
        String standing =
                ips.stream().filter(ip -> !machines.get(ip).gone).findFirst().orElseThrow();
        if (!answers(() -> get(standing))) {
            throw new Violation("no read is answered after recovery");
        }
        List<Update> contested = checker.contested(SENT_AGAIN);
        for (Update update : contested) {
            // As an operator does: a machine that has not joined yet may not know the primary, another one does.
            int first = random.nextInt(ips.size());
            if (!answers(() -> update(ips.get(first), update)) && !answers(() -> update(standing, update))) {
                throw new Violation("no update is answered after recovery");
            }
        }
        checker.checkAtEnd(contested);
    }

    private void tell(String what) {
        steadySince = now;
        if (eventLog != null) {
            eventLog.add(now / 1_000 + " " + what);
        }
    }
}
