package gorsemast.modelcheck;

import gorsemast.modelcheck.ConfigurationChecker.Call;
import gorsemast.modelcheck.ConfigurationChecker.Update;
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
 * Members of a store with their disks and the messages between them, in virtual time, and the operators who send updates and
 * read. {@link StoreSimulation} adds the faults. Times in microseconds; single-threaded.
 */
class StoreMembers {
    static final long STEP_MICROS = 25_000;
    private static final int ROUGH_DRAWS = 5;
    static final long LONG_MICROS = 20_000_000;
    /** How long operators wait for an update, whatever a single disk does. */
    private static final long ACK_MICROS = 4_000_000;
    /** After this time without an answer an operator tries another machine. */
    private static final long AGAIN_MICROS = 1_000_000;

    final SplittableRandom random;
    final StoreDefect defect;
    final FaultTolerance tolerance;
    final Map<String, Location> places;
    final List<Member> firstMembers = new ArrayList<>();
    final Map<String, ModelMachine> machines = new HashMap<>();
    final List<String> ips = new ArrayList<>();
    final ModelLinks links = new ModelLinks();
    final Map<Long, Call> calls = new HashMap<>();
    final Map<Long, Integer> hops = new HashMap<>();
    final ConfigurationChecker checker = new ConfigurationChecker();
    final DefectiveMessages defectiveMessages;
    final Deque<Runnable> later = new ArrayDeque<>();
    List<String> eventLog;
    long now = 1_000_000;
    private long lastCall;
    long lastAsked;
    int incarnations;

    /**
     * Creates members on empty disks, and spare machines that are no members.
     *
     * @param tolerance the losses to tolerate
     * @param places the machines' locations by name
     */
    StoreMembers(
            int members,
            int spares,
            FaultTolerance tolerance,
            Map<String, Location> places,
            long seed,
            StoreDefect defect) {
        this.tolerance = tolerance;
        this.places = Map.copyOf(places);
        this.random = new SplittableRandom(seed);
        this.defect = defect;
        this.defectiveMessages = new DefectiveMessages(defect);
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

    /** The members' log and the injected events; null unless recorded. */
    List<String> eventLog() {
        return eventLog;
    }

    /** The number of calls with a definite answer. */
    int answered() {
        return checker.answeredCalls();
    }

    /** The newest version that was acknowledged. */
    long newest() {
        return checker.newest();
    }

    /** The machines' names. */
    List<String> machines() {
        return ips;
    }

    /** The machine of the primary; null for none. */
    String leader() {
        return ips.stream()
                .filter(ip -> machines.get(ip).replica != null
                        && !machines.get(ip).frozen
                        && machines.get(ip).replica.isPrimary())
                .findFirst()
                .orElse(null);
    }

    /** The replica of a running machine; null if it does not run. */
    Replica replica(String ip) {
        return machines.get(ip).replica;
    }

    /** A call reaches a replica. */
    void deliverCall(ModelMachine at, long call, Call request) {
        if (request.update() != null) {
            if (defect == StoreDefect.CONFLICT_BEFORE_THE_ROUND && at.refusesAtOnce(request.update())) {
                at.complete(call, CallOutcome.CONFLICT, at.replica.stored());
                return;
            }
            at.replica.put(
                    now, call, request.update().version(), request.update().body());
        } else {
            at.replica.get(now, call);
        }
        settle();
    }

    /** Runs all tasks that are due now. */
    void settle() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    /** An operator sends the next version to a machine, or sends the last one again. */
    void put(String ip, boolean same) {
        update(ip, same ? checker.again(0) : checker.next());
    }

    /** An operator resends the update sent {@code back} before the last. */
    void again(String ip, int back) {
        update(ip, checker.again(back));
    }

    /** Another operator sends a different content under one of the last numbers. */
    void rival(String ip, int back) {
        update(ip, checker.rival(back));
    }

    /** Sends an update to a machine. */
    void update(String ip, Update update) {
        ask(ip, checker.call(update));
    }

    /** An operator sends the next version, to one machine after the other, and gives it {@link #ACK_MICROS}. */
    void update(String ip) {
        Update update = checker.next();
        long begun = now;
        for (int at = ips.indexOf(ip); !checker.isAcknowledged(update.version()); at++) {
            if (now - begun > ACK_MICROS) {
                throw new StoreSimulation.Violation(
                        "version " + update.version() + " is not acknowledged in " + ACK_MICROS / 1_000 + " ms");
            }
            update(ips.get(at % ips.size()), update);
            for (long until = now + AGAIN_MICROS; now < until && !checker.isAcknowledged(update.version()); ) {
                quiet();
                tick();
                quiet();
            }
        }
    }

    /** An operator reads. */
    void get(String ip) {
        ask(ip, checker.call(null));
    }

    private void ask(String ip, Call request) {
        ModelMachine at = machines.get(ip);
        if (at.replica != null && !at.frozen) {
            long call = ++lastCall;
            calls.put(call, request);
            if (eventLog != null && request.update() != null) {
                eventLog.add(
                        now / 1_000 + " " + ip + " is sent " + request.update().content());
            }
            deliverCall(at, call, request);
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
        Message answer =
                defectiveMessages.answerInAnyTerm(message, at.disk.held().self());
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

    /** Advances the time; all running members process their timers. */
    void tick() {
        now += STEP_MICROS;
        for (String ip : ips) {
            ModelMachine machine = machines.get(ip);
            if (machine.replica != null && !machine.frozen) {
                machine.replica.tick(now);
                machine.advertiseEarly();
                settle();
            }
        }
    }

    /** For this time, messages and writes complete at random moments: about three messages of each pair per step. */
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

    /** Delivers all messages and completes all writes. */
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

    /** Lets time pass without faults. */
    void calm(long micros) {
        long until = now + micros;
        while (now < until) {
            quiet();
            tick();
        }
    }

    /** Whether an operator's call is answered within 5 s. */
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
