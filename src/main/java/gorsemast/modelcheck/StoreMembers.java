package gorsemast.modelcheck;

import gorsemast.modelcheck.OrderReferee.Asked;
import gorsemast.modelcheck.OrderReferee.Order;
import gorsemast.node.FaultTolerance;
import gorsemast.store.CallOutcome;
import gorsemast.store.Location;
import gorsemast.store.Member;
import gorsemast.store.Message;
import gorsemast.store.Message.RequestVote;
import gorsemast.store.Replica;
import gorsemast.store.ReplicaState;
import gorsemast.store.StoredVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Members of a store with their disks and the messages between them, in virtual time, and the operators who send them orders
 * and read. No fault begins here: {@link StoreWorld} adds those. Times in microseconds; one thread.
 */
class StoreMembers {
    static final long STEP_MICROS = 25_000;
    private static final int ROUGH_DRAWS = 5;
    static final long LONG_MICROS = 20_000_000;
    /** Operators give an order so long, whatever one disk does. */
    private static final long ACK_MICROS = 4_000_000;
    /** An operator that has no answer asks another machine after so long. */
    private static final long AGAIN_MICROS = 1_000_000;

    final SplittableRandom random;
    final Plant plant;
    final FaultTolerance tolerance;
    final Map<String, Location> places;
    final List<Member> firstMembers = new ArrayList<>();
    final Map<String, ModelMachine> machines = new HashMap<>();
    final List<String> ips = new ArrayList<>();
    final ModelLinks links = new ModelLinks();
    final Map<Long, Asked> calls = new HashMap<>();
    final Map<Long, Integer> hops = new HashMap<>();
    final OrderReferee orders = new OrderReferee();
    final SpoiledMessages spoiled;
    final Deque<Runnable> later = new ArrayDeque<>();
    List<String> story;
    long now = 1_000_000;
    private long lastCall;
    long lastAsked;
    int lives;

    /**
     * So many members on empty disks, and further machines that are none.
     *
     * @param tolerance the losses that are to be borne
     * @param places the places of machines, by name
     */
    StoreMembers(
            int members, int spares, FaultTolerance tolerance, Map<String, Location> places, long seed, Plant plant) {
        this.tolerance = tolerance;
        this.places = Map.copyOf(places);
        this.random = new SplittableRandom(seed);
        this.plant = plant;
        this.spoiled = new SpoiledMessages(plant);
        for (int i = 1; i <= members + spares; i++) {
            String ip = "m" + i;
            ips.add(ip);
            machines.put(ip, new ModelMachine(this, ip));
            if (i <= members) {
                firstMembers.add(new Member(ip + "#0", ip));
            }
        }
        for (int i = 0; i < members; i++) {
            ModelMachine machine = machines.get(ips.get(i));
            machine.disk.begin(
                    new ReplicaState(firstMembers.get(i), 0, Replica.initialView(firstMembers), StoredVersion.NONE));
        }
        for (int i = 0; i < members; i++) {
            machines.get(ips.get(i)).start();
        }
    }

    /** What members said of themselves and what happened to them; null unless it is kept. */
    List<String> story() {
        return story;
    }

    /** Calls that were answered for certain. */
    int answered() {
        return orders.answered();
    }

    /** The newest version that was acknowledged. */
    long newest() {
        return orders.newest();
    }

    /** The machines' names. */
    List<String> machines() {
        return ips;
    }

    /** The machine that leads; null for none. */
    String leader() {
        return ips.stream()
                .filter(ip -> machines.get(ip).replica != null
                        && !machines.get(ip).frozen
                        && machines.get(ip).replica.isPrimary())
                .findFirst()
                .orElse(null);
    }

    /** The decisions of a machine that runs; null where none do. */
    Replica replica(String ip) {
        return machines.get(ip).replica;
    }

    /** A call reaches a replica. */
    void enter(ModelMachine at, long call, Asked asked) {
        if (asked.order() != null) {
            if (plant == Plant.CONFLICT_BEFORE_THE_ROUND && at.refusesAtOnce(asked.order())) {
                at.complete(call, CallOutcome.CONFLICT, at.replica.stored());
                return;
            }
            at.replica.put(now, call, asked.order().version(), asked.order().body());
        } else {
            at.replica.get(now, call);
        }
        settle();
    }

    /** Does what is due at this moment. */
    void settle() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    /** An operator sends the next version to a machine, or sends the last one again. */
    void put(String ip, boolean same) {
        order(ip, same ? orders.again(0) : orders.next());
    }

    /** An operator sends an order again that was sent so many before the last. */
    void again(String ip, int back) {
        order(ip, orders.again(back));
    }

    /** Another operator sends a content of its own under a number that was sent so many numbers ago. */
    void rival(String ip, int back) {
        order(ip, orders.rival(back));
    }

    /** An order is sent to a machine. */
    void order(String ip, Order order) {
        ask(ip, orders.ask(order));
    }

    /** An operator sends the next version, to one machine after the other, and gives it {@link #ACK_MICROS}. */
    void order(String ip) {
        Order order = orders.next();
        long begun = now;
        for (int at = ips.indexOf(ip); !orders.holds(order.version()); at++) {
            if (now - begun > ACK_MICROS) {
                throw new StoreWorld.Broken(
                        "version " + order.version() + " is not acknowledged in " + ACK_MICROS / 1_000 + " ms");
            }
            order(ips.get(at % ips.size()), order);
            for (long until = now + AGAIN_MICROS; now < until && !orders.holds(order.version()); ) {
                quiet();
                tick();
                quiet();
            }
        }
    }

    /** An operator reads. */
    void get(String ip) {
        ask(ip, orders.ask(null));
    }

    private void ask(String ip, Asked asked) {
        ModelMachine at = machines.get(ip);
        if (at.replica != null && !at.frozen) {
            long call = ++lastCall;
            calls.put(call, asked);
            if (story != null && asked.order() != null) {
                story.add(now / 1_000 + " " + ip + " is sent " + asked.order().content());
            }
            enter(at, call, asked);
        }
    }

    /** One message of a pair arrives. */
    boolean deliver(String from, String to) {
        ModelMachine at = machines.get(to);
        if (at.replica == null || at.frozen) {
            return false;
        }
        Message message = links.next(from, to);
        if (message == null) {
            return false;
        }
        if (message instanceof RequestVote request) {
            lastAsked = request.term();
        }
        at.replica.receive(now, message);
        Message answer = spoiled.answerInAnyTerm(message, at.disk.held().self());
        if (answer != null) {
            ModelMachine asker = machines.get(from);
            later.add(() -> {
                if (asker.replica != null && !asker.frozen) {
                    asker.replica.receive(now, answer);
                }
            });
        }
        settle();
        return true;
    }

    /** A disk finishes one write. */
    boolean sync(String ip) {
        boolean did = machines.get(ip).disk.sync(machines.get(ip).replica, now);
        settle();
        return did;
    }

    /** Time passes, and everybody who runs looks at the clock. */
    void tick() {
        now += STEP_MICROS;
        for (String ip : ips) {
            ModelMachine machine = machines.get(ip);
            if (machine.replica != null && !machine.frozen) {
                machine.replica.tick(now);
                machine.tellEarly();
                settle();
            }
        }
    }

    /** For this long, messages and disks come at drawn moments: of a pair's messages, some three in each step. */
    void rough(long micros) {
        long until = now + micros;
        while (now < until) {
            for (int i = 0; i < ROUGH_DRAWS * ips.size() * ips.size(); i++) {
                if (random.nextInt(3) > 0) {
                    deliver(ips.get(random.nextInt(ips.size())), ips.get(random.nextInt(ips.size())));
                } else {
                    sync(ips.get(random.nextInt(ips.size())));
                }
            }
            tick();
        }
    }

    /** Everything that is on its way arrives. */
    void quiet() {
        boolean moved = true;
        for (int round = 0; moved && round < 1_000; round++) {
            moved = false;
            for (String a : ips) {
                while (sync(a)) {
                    moved = true;
                }
                for (String b : ips) {
                    while (deliver(a, b)) {
                        moved = true;
                    }
                }
            }
        }
    }

    /** A calm while, as between troubles. */
    void calm(long micros) {
        long until = now + micros;
        while (now < until) {
            quiet();
            tick();
        }
    }

    /** Whether something that an operator asks is answered within 5 s. */
    boolean answers(Runnable asks) {
        int before = answered();
        asks.run();
        for (int i = 0; i < 200 && answered() == before; i++) {
            quiet();
            tick();
        }
        return answered() > before;
    }
}
