package gorsemast.modelcheck;

import gorsemast.modelcheck.OrderReferee.Order;
import gorsemast.node.FaultTolerance;
import gorsemast.store.Location;
import gorsemast.store.Member;
import gorsemast.store.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Members of a store among faults: processes that are killed, stand still or leave, disks that stall or are lost, links that
 * are cut or break.
 *
 * <p>The referee: what {@link OrderReferee} says of orders, a read never answers with less than was acknowledged before
 * it was asked for nor with what nobody sent, and when all is well again a read answers, with at least the newest
 * that was acknowledged. Deterministic by its seed. One thread.
 */
final class StoreWorld extends StoreMembers {
    /** A rule was broken. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String text) {
            super(text);
        }
    }

    /** Orders under so many contested numbers are sent again in the end. */
    private static final int SENT_AGAIN = 4;

    private String lost;
    private long lostSince;
    private long steadySince;

    /** So many members on empty disks, at the system's first start, and further machines that are none. */
    StoreWorld(int members, int spares, long seed, Plant plant) {
        this(members, spares, FaultTolerance.ofMachines(1), Map.of(), seed, plant);
    }

    /** The same where these losses are to be borne, with the places of machines, by name. */
    StoreWorld(
            int members, int spares, FaultTolerance tolerance, Map<String, Location> places, long seed, Plant plant) {
        super(members, spares, tolerance, places, seed, plant);
    }

    /** Keeps from now on what {@link #story} gives. */
    StoreWorld telling() {
        story = new ArrayList<>();
        return this;
    }

    /** A process is killed, or its machine loses power. */
    void kill(String ip, boolean power) {
        if (machines.get(ip).replica != null) {
            tell(ip + (power ? " loses power" : " is killed"));
            machines.get(ip).kill(power);
        }
    }

    /** Starts what is down. */
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

    /** A disk is lost, where no other one is lost or has only just come back: one at a time may be. */
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

    /** Links come up, by the list of core machines that each process is given: each side says a first word. */
    private void greet(ModelMachine started) {
        for (String ip : ips) {
            ModelMachine other = machines.get(ip);
            if (other != started && other.replica != null) {
                started.send(new Member("", ip), started.replica.heartbeat());
                other.send(new Member("", started.ip), other.replica.heartbeat());
            }
        }
    }

    /** A further machine, not started yet; its name. */
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

    /** Whether one that was asked to leave may end. */
    boolean left(String ip) {
        return machines.get(ip).replica.mayStop(now);
    }

    /** A machine is asked to leave and ends as soon as it may, or when the time is over; how long that took. */
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
        } while (!(plant == Plant.LEAVES_AT_ONCE || replica.mayStop(now)) && now - from < grace);
        kill(ip, false);
        return now - from;
    }

    /** How long it takes until a read sent to any machine that runs answers, asked anew each 0.1 s; -1 for never. */
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

    /** A process stands still, or runs on. */
    void freeze(String ip, boolean does) {
        tell(ip + (does ? " freezes" : " wakes"));
        if (does) {
            machines.get(ip).frozen = machines.get(ip).replica != null;
        } else if (machines.get(ip).frozen) {
            machines.get(ip).wake();
        }
    }

    /** A disk hangs or is full, and ends nothing; or works again. */
    void stall(String ip, boolean does) {
        tell(ip + (does ? "'s disk stalls" : "'s disk works"));
        machines.get(ip).disk.stall(does);
    }

    /** One direction between two machines is cut, or mended. */
    void cut(String from, String to, boolean does) {
        links.cut(from, to, does);
        if (does) {
            tell(from + " does not reach " + to);
        }
    }

    /** A machine reaches no other one, both ways. */
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

    /** Everything works again, for so long that what is slow has come to its end; then a read must answer. */
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
            throw new Broken("nobody answers though all is well");
        }
        List<Order> contested = orders.contested(SENT_AGAIN);
        for (Order order : contested) {
            // As an operator does: one that nobody has taken in yet may not know who leads, another one does.
            int first = random.nextInt(ips.size());
            if (!answers(() -> order(ips.get(first), order)) && !answers(() -> order(standing, order))) {
                throw new Broken("nobody answers an order though all is well");
            }
        }
        orders.end(contested);
    }

    private void tell(String what) {
        steadySince = now;
        if (story != null) {
            story.add(now / 1_000 + " " + what);
        }
    }
}
