package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.modelcheck.OrderReferee.Asked;
import gorsemast.modelcheck.OrderReferee.Order;
import gorsemast.node.FaultTolerance;
import gorsemast.store.CallOutcome;
import gorsemast.store.Member;
import gorsemast.store.Message;
import gorsemast.store.Message.Append;
import gorsemast.store.Message.AppendAck;
import gorsemast.store.Message.Confirm;
import gorsemast.store.Message.ConfirmAck;
import gorsemast.store.Message.Install;
import gorsemast.store.Message.InstallAck;
import gorsemast.store.Message.RequestVote;
import gorsemast.store.Message.ViewChange;
import gorsemast.store.Message.Vote;
import gorsemast.store.Place;
import gorsemast.store.Replica;
import gorsemast.store.ReplicaState;
import gorsemast.store.StoredVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Members of a store with their disks and the messages between them, in virtual time. Messages of one pair keep their
 * order, as on a link, but a link may break and lose what was on it. Disks are {@link ModelDisk}s.
 *
 * <p>The referee: what {@link OrderReferee} says of orders, a read never answers with less than was acknowledged before
 * it was asked for nor with what nobody sent, and when all is well again a read answers, with at least the newest
 * that was acknowledged. Deterministic by its seed.
 */
public final class World {
    /** A rule was broken. */
    public static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String text) {
            super(text);
        }
    }

    private static final long STEP_MICROS = 25_000;
    private static final int ROUGH_DRAWS = 5;
    private static final long LONG_MICROS = 20_000_000;
    /** Long enough for one to take over. */
    private static final long QUIET_MICROS = 1_500_000;

    /** Orders under so many contested numbers are sent again in the end. */
    private static final int SENT_AGAIN = 4;

    /** Operators give an order so long, whatever one disk does. */
    private static final long ACK_MICROS = 4_000_000;
    /** An operator that has no answer asks another machine after so long. */
    private static final long AGAIN_MICROS = 1_000_000;

    /** One machine. */
    private final class Machine implements Replica.Out {
        private final String ip;
        private final ModelDisk disk;
        private final Map<Member, Append> inHand = new HashMap<>();
        private Replica keeper;
        private boolean frozen;
        private boolean told;
        /** Removed for good. */
        private boolean gone;

        Machine(String ip) {
            this.ip = ip;
            this.disk = new ModelDisk(random, plant);
        }

        void start() {
            if (disk.held() == null) {
                disk.begin(new ReplicaState(
                        new Member(ip + "#" + (plant == Plant.WIPED_KEEPS_ITS_NAME ? 0 : ++lives), ip),
                        0,
                        plant == Plant.WIPED_KEEPS_ITS_NAME ? Replica.first(firstMembers) : Replica.first(List.of()),
                        StoredVersion.NONE));
            }
            told = false;
            links.keySet()
                    .removeIf(pair -> pair.endsWith(">" + ip)); // links are of one life: nothing waits for the next
            Place place = plant == Plant.ZONES_UNKNOWN ? Place.UNKNOWN : places.getOrDefault(ip, Place.UNKNOWN);
            keeper = plant == Plant.WAITS_FOR_ANY_DISK
                    ? new Replica(disk.held(), tolerance, place, random.nextLong(), LONG_MICROS * LONG_MICROS, this)
                    : new Replica(disk.held(), tolerance, place, random.nextLong(), this);
            if (plant == Plant.WIPED_KEEPS_ITS_NAME && disk.held().me().id().endsWith("#0")) {
                lives++;
            }
        }

        /** As a store tells its registry once after its start. */
        private void tellEarly() {
            if (!told && (keeper.mayTell() || plant == Plant.TELLS_WHAT_IT_HOLDS)) {
                told = true;
                orders.tells(ip, keeper.kept());
            }
        }

        private boolean refusesAtOnce(Order order) {
            ContentDigest holds = keeper.kept().numbers().digest(order.version());
            return holds != null && !holds.equals(ContentDigest.of(order.body()));
        }

        void kill(boolean power) {
            disk.end(power);
            keeper = null;
            frozen = false;
            inHand.clear();
            links.keySet().removeIf(pair -> pair.startsWith(ip + ">") || pair.endsWith(">" + ip));
        }

        void wake() {
            frozen = false;
            if (plant == Plant.WAKES_AND_ACKNOWLEDGES && keeper != null) {
                inHand.forEach((to, append) -> forge(new AppendAck(to, append.term(), append.round())));
                settle();
            }
        }

        @Override
        public void send(Member to, Message message) {
            if (to.ip().equals(ip)) {
                return;
            }
            if (message instanceof Install install && untold(install, machines.get(to.ip()))) {
                forge(new InstallAck(to, install.term()));
                return;
            }
            if (message instanceof ViewChange change
                    && plant == Plant.CHANGES_OVERLAP
                    && change.view().members().stream().noneMatch(to::equals)) {
                return;
            }
            if (message instanceof RequestVote request && plant == Plant.OUTSIDER_VOTES && outsider(to)) {
                forge(new Vote(to, request.term(), null));
            }
            Message sent = spoiled.spoiled(message, lastAsked);
            if (plant == Plant.JOINS_EMPTY && message instanceof Install install && holdsNothing(to)) {
                sent = new Install(install.from(), install.term(), install.view(), StoredVersion.NONE);
            }
            if (sent != null) {
                links.computeIfAbsent(ip + ">" + to.ip(), pair -> new ArrayDeque<>())
                        .add(sent);
            }
            if (message instanceof Append append) {
                inHand.put(to, append);
            }
            boolean uncopied = plant == Plant.COPIED_WITHOUT_COPY || plant == Plant.NO_BACKUP;
            if (message instanceof Append append && uncopied) {
                forge(new AppendAck(to, append.term(), append.round()));
            }
            boolean unconfirmed = plant == Plant.CONFIRMED_BY_NOBODY || plant == Plant.NO_BACKUP;
            if (message instanceof Confirm confirm && unconfirmed) {
                forge(new ConfirmAck(to, confirm.term(), confirm.round()));
            }
        }

        /** Whether a planted defect has it that this one is not told, and counts all the same. */
        private boolean untold(Install install, Machine to) {
            return switch (plant) {
                case NO_BACKUP -> true;

                case CHANGES_OVERLAP ->
                    !install.view().before().isEmpty()
                            && install.view().backups().stream().noneMatch(id -> id.startsWith(to.ip + "#"));
                default -> false;
            };
        }

        private boolean holdsNothing(Member to) {
            ReplicaState state = machines.get(to.ip()).disk.held();
            return state != null && state.kept().version() == 0;
        }

        /** Whether a machine that runs and is no member could speak for this one, which is down. */
        private boolean outsider(Member silent) {
            return machines.get(silent.ip()).keeper == null
                    && machines.values().stream()
                            .anyMatch(one -> one.keeper != null
                                    && !one.keeper
                                            .view()
                                            .has(one.disk.held().me().id()));
        }

        private void forge(Message forged) {
            Replica mine = keeper;
            later.add(() -> {
                if (keeper == mine) {
                    mine.message(now, forged);
                }
            });
        }

        @Override
        public void save(ReplicaState state, boolean keptToo, long token) {
            disk.save(state, keptToo, token, keeper);
            if (plant == Plant.SAVED_TOO_EARLY && keeper != null) {
                Replica mine = keeper;
                later.add(() -> {
                    if (keeper == mine) {
                        mine.saved(now, token);
                    }
                });
            }
        }

        @Override
        public void answer(long call, CallOutcome outcome, StoredVersion kept) {
            Asked asked = calls.remove(call);
            if (asked != null) {
                boolean hides = plant == Plant.CONFLICT_SAYS_DONE && outcome == CallOutcome.CONFLICT;
                orders.answers(ip, asked, hides ? CallOutcome.DONE : outcome, kept);
            }
        }

        @Override
        public void committed(StoredVersion kept) {
            orders.tells(ip, kept);
        }

        @Override
        public void forward(long call, Member primary) {
            Asked asked = calls.get(call);
            Machine to = machines.get(primary.ip());
            if (asked != null
                    && to != null
                    && to.keeper != null
                    && !to.frozen
                    && hops.merge(call, 1, Integer::sum) < 4
                    && !cut(ip, to.ip)
                    && !cut(to.ip, ip)) {
                later.add(() -> {
                    if (to.keeper != null) {
                        enter(to, call, asked);
                    }
                });
            } else {
                calls.remove(call);
            }
        }

        @Override
        public void log(String sentence) {
            if (story != null) {
                story.add(now / 1_000 + " " + ip + " " + sentence);
            }
        }
    }

    private final SplittableRandom random;
    private final Plant plant;
    private final FaultTolerance tolerance;
    private final Map<String, Place> places;
    private final List<Member> firstMembers = new ArrayList<>();
    private final Map<String, Machine> machines = new HashMap<>();
    private final List<String> ips = new ArrayList<>();
    private final Map<String, Deque<Message>> links = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<Long, Asked> calls = new HashMap<>();
    private final Map<Long, Integer> hops = new HashMap<>();
    private final OrderReferee orders = new OrderReferee();
    private final SpoiledMessages spoiled;
    private final Deque<Runnable> later = new ArrayDeque<>();
    private List<String> story;
    private long now = 1_000_000;
    private long lastCall;
    private long lastAsked;
    private int lives;
    private String lost;

    /** So many members on empty disks, at the system's first start, and further machines that are none. */
    public World(int members, int spares, long seed, Plant plant) {
        this(members, spares, FaultTolerance.ofMachines(1), Map.of(), seed, plant);
    }

    /** The same where these losses are to be borne, with the places of machines, by name. */
    World(int members, int spares, FaultTolerance tolerance, Map<String, Place> places, long seed, Plant plant) {
        this.tolerance = tolerance;
        this.places = Map.copyOf(places);
        this.random = new SplittableRandom(seed);
        this.plant = plant;
        this.spoiled = new SpoiledMessages(plant);
        for (int i = 1; i <= members + spares; i++) {
            String ip = "m" + i;
            ips.add(ip);
            machines.put(ip, new Machine(ip));
            if (i <= members) {
                firstMembers.add(new Member(ip + "#0", ip));
            }
        }
        for (int i = 0; i < members; i++) {
            Machine machine = machines.get(ips.get(i));
            machine.disk.begin(
                    new ReplicaState(firstMembers.get(i), 0, Replica.first(firstMembers), StoredVersion.NONE));
        }
        for (int i = 0; i < members; i++) {
            machines.get(ips.get(i)).start();
        }
    }

    /** Keeps what members say of themselves from now on. */
    public World telling() {
        story = new ArrayList<>();
        return this;
    }

    /** That. */
    public List<String> story() {
        return story;
    }

    /** Calls that were answered for certain. */
    public int answered() {
        return orders.answered();
    }

    private boolean cut(String from, String to) {
        return cuts.contains(from + ">" + to);
    }

    private void enter(Machine at, long call, Asked asked) {
        if (asked.order() != null) {
            if (plant == Plant.CONFLICT_BEFORE_THE_ROUND && at.refusesAtOnce(asked.order())) {
                at.answer(call, CallOutcome.CONFLICT, at.keeper.kept());
                return;
            }
            at.keeper.put(now, call, asked.order().version(), asked.order().body());
        } else {
            at.keeper.get(now, call);
        }
        settle();
    }

    private void settle() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    // ---- what may happen

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

    private void order(String ip, Order order) {
        ask(ip, orders.ask(order));
    }

    /** An operator sends the next version, to one machine after the other, and gives it {@link #ACK_MICROS}. */
    void order(String ip) {
        Order order = orders.next();
        long begun = now;
        for (int at = ips.indexOf(ip); !orders.holds(order.version()); at++) {
            if (now - begun > ACK_MICROS) {
                throw new Broken(
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
        Machine at = machines.get(ip);
        if (at.keeper != null && !at.frozen) {
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
        Deque<Message> row = links.get(from + ">" + to);
        Machine at = machines.get(to);
        if (row == null || row.isEmpty() || at.keeper == null || at.frozen || cut(from, to)) {
            return false;
        }
        Message message = row.poll();
        if (message instanceof RequestVote request) {
            lastAsked = request.term();
        }
        at.keeper.message(now, message);
        Message answer = spoiled.answerInAnyTerm(message, at.disk.held().me());
        if (answer != null) {
            Machine asker = machines.get(from);
            later.add(() -> {
                if (asker.keeper != null && !asker.frozen) {
                    asker.keeper.message(now, answer);
                }
            });
        }
        settle();
        return true;
    }

    /** A disk finishes one write. */
    boolean sync(String ip) {
        boolean did = machines.get(ip).disk.sync(machines.get(ip).keeper, now);
        settle();
        return did;
    }

    /** Time passes, and everybody who runs looks at the clock. */
    void tick() {
        now += STEP_MICROS;
        for (String ip : ips) {
            Machine machine = machines.get(ip);
            if (machine.keeper != null && !machine.frozen) {
                machine.keeper.tick(now);
                machine.tellEarly();
                settle();
            }
        }
    }

    void kill(String ip, boolean power) {
        if (machines.get(ip).keeper != null) {
            tell(ip + (power ? " loses power" : " is killed"));
            machines.get(ip).kill(power);
        }
    }

    /** Starts what is down. */
    void start(String ip) {
        Machine machine = machines.get(ip);
        if (machine.keeper == null && !machine.gone) {
            tell(ip + " starts");
            machine.start();
            greet(machine);
            if (ip.equals(lost)) {
                lostSince = now;
            }
        }
    }

    private long lostSince;

    /** A disk is lost, where no other one is lost or has only just come back: one at a time may be. */
    void wipe(String ip) {
        Machine machine = machines.get(ip);
        boolean whole = lost == null || machines.get(lost).keeper != null && now - lostSince > 4_000_000;
        if (whole && allUp(ip)) {
            tell(ip + " loses its disk");
            machine.kill(true);
            machine.disk.wipe();
            lost = ip;
            lostSince = now;
        }
    }

    /** Links come up, by the list of core machines that each process is given: each side says a first word. */
    private void greet(Machine started) {
        for (String ip : ips) {
            Machine other = machines.get(ip);
            if (other != started && other.keeper != null) {
                started.send(new Member("", ip), started.keeper.greeting());
                other.send(new Member("", started.ip), other.keeper.greeting());
            }
        }
    }

    /** A further machine, not started yet; its name. */
    String add() {
        String ip = "m" + (ips.size() + 1);
        ips.add(ip);
        machines.put(ip, new Machine(ip));
        return ip;
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

    /** A machine is removed for good, with its disk. */
    void remove(String ip) {
        tell(ip + " is removed");
        Machine machine = machines.get(ip);
        if (machine.keeper != null) {
            machine.kill(true);
        }
        machine.disk.wipe();
        machine.gone = true;
    }

    /** A machine loses its disk, whatever else is lost. */
    void lose(String ip) {
        tell(ip + " loses its disk");
        Machine machine = machines.get(ip);
        if (machine.keeper != null) {
            machine.kill(true);
        }
        machine.disk.wipe();
    }

    /** All processes are killed and come back at once. */
    void quietKill() {
        List<String> running =
                ips.stream().filter(ip -> machines.get(ip).keeper != null).toList();
        running.forEach(ip -> kill(ip, false));
        running.forEach(this::start);
    }

    /** A machine is asked to leave. */
    void ask(String ip) {
        machines.get(ip).keeper.leave(now);
        settle();
    }

    /** Whether one that was asked to leave may end. */
    boolean left(String ip) {
        return machines.get(ip).keeper.left(now);
    }

    /** A machine is asked to leave and ends as soon as it may, or when the time is over; how long that took. */
    long leave(String ip, long grace) {
        tell(ip + " leaves");
        long from = now;
        Replica replica = machines.get(ip).keeper;
        ask(ip);
        boolean rough = random.nextBoolean();
        do {
            if (rough) {
                rough(STEP_MICROS);
            } else {
                quiet();
                tick();
            }
        } while (!(plant == Plant.LEAVES_AT_ONCE || replica.left(now)) && now - from < grace);
        kill(ip, false);
        return now - from;
    }

    /** The machine that leads; null for none. */
    String leader() {
        return ips.stream()
                .filter(ip -> machines.get(ip).keeper != null
                        && !machines.get(ip).frozen
                        && machines.get(ip).keeper.primary())
                .findFirst()
                .orElse(null);
    }

    /** The decisions of a machine that runs; null where none do. */
    Replica replica(String ip) {
        return machines.get(ip).keeper;
    }

    /** The newest version that was acknowledged. */
    long newest() {
        return orders.newest();
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
                                || machines.get(ip).keeper != null && !machines.get(ip).frozen)
                && cuts.isEmpty()
                && machines.get(but).disk.held() != null
                && steadySince < now - 4_000_000;
    }

    private long steadySince;

    void freeze(String ip, boolean does) {
        tell(ip + (does ? " freezes" : " wakes"));
        if (does) {
            machines.get(ip).frozen = machines.get(ip).keeper != null;
        } else if (machines.get(ip).frozen) {
            machines.get(ip).wake();
        }
    }

    /** A disk hangs or is full, and ends nothing; or works again. */
    void stall(String ip, boolean does) {
        tell(ip + (does ? "'s disk stalls" : "'s disk works"));
        machines.get(ip).disk.stall(does);
    }

    void cut(String from, String to, boolean does) {
        if (does) {
            cuts.add(from + ">" + to);
            tell(from + " does not reach " + to);
        } else {
            cuts.remove(from + ">" + to);
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

    private void tell(String what) {
        steadySince = now;
        if (story != null) {
            story.add(now / 1_000 + " " + what);
        }
    }

    /** A link breaks and loses what was on it. */
    void breakLink(String from, String to) {
        links.remove(from + ">" + to);
    }

    // ---- courses

    /** One drawn event; times and deliveries come most often. */
    void drawn() {
        String a = ips.get(random.nextInt(ips.size()));
        String b = ips.get(random.nextInt(ips.size()));
        int what = random.nextInt(1_000);
        if (what < 450) {
            deliver(a, b);
        } else if (what < 700) {
            sync(a);
        } else if (what < 850) {
            tick();
        } else if (what < 860) {
            stall(a, what < 853);
        } else if (what < 890) {
            put(a, false);
        } else if (what < 900) {
            again(a, random.nextInt(6));
        } else if (what < 910) {
            rival(a, random.nextInt(4));
        } else if (what < 945) {
            get(a);
        } else if (what < 955) {
            kill(a, random.nextBoolean());
        } else if (what < 972) {
            start(a);
        } else if (what < 976) {
            wipe(a);
        } else if (what < 982) {
            freeze(a, !machines.get(a).frozen);
        } else if (what < 988) {
            cut(a, b, true);
        } else if (what < 997) {
            cut(a, b, false);
        } else if (what < 999) {
            breakLink(a, b);
        } else {
            for (String ip : ips) {
                kill(ip, true);
            }
        }
    }

    /** All work, a version is acknowledged somewhere, and a disk is lost at once; others lose power with it. */
    void strike() {
        cuts.clear();
        for (String ip : ips) {
            machines.get(ip).frozen = false;
            machines.get(ip).disk.stall(false);
            start(ip);
        }
        calm(6_000_000);
        put(ips.get(random.nextInt(ips.size())), false);
        calm(random.nextInt(4) * 25_000L);
        String struck = ips.get(random.nextInt(ips.size()));
        wipe(struck);
        for (String ip : ips) {
            if (!ip.equals(struck) && random.nextInt(3) == 0) {
                kill(ip, true);
            }
        }
        get(ips.get(random.nextInt(ips.size())));
    }

    /** A disk is lost, and all others lose power with it. */
    void strikeAll(String wiped) {
        wipe(wiped);
        for (String ip : ips) {
            kill(ip, true);
        }
    }

    /** One stands still while another takes over and acknowledges, wakes, and is asked before it has heard of that. */
    void sleep() {
        String sleeper = ips.get(random.nextInt(ips.size()));
        String other = ips.get(random.nextInt(ips.size()));
        boolean inHand = random.nextBoolean();
        if (inHand) {
            put(sleeper, false); // written there, and nobody else has heard of it
        }
        freeze(sleeper, true);
        calm(3_000_000);
        put(other, inHand && !other.equals(sleeper));
        calm(100_000);
        freeze(sleeper, false);
        get(sleeper);
        put(sleeper, true);
        for (String ip : ips) {
            deliver(sleeper, ip); // what it says is heard before it hears anything
        }
    }

    /**
     * Two contents under one number, each on one disk only, in two terms; then the first one's machine leads again and
     * acknowledges, and the second one's comes back in its place.
     */
    void contend() {
        cuts.clear();
        for (String ip : ips) {
            machines.get(ip).frozen = false;
            start(ip);
        }
        calm(QUIET_MICROS);
        String first = primary();
        isolate(first, true);
        put(first, false);
        calm(QUIET_MICROS);
        String second = primary();
        isolate(second, true);
        rival(second, 0);
        calm(25_000L * random.nextInt(3));
        isolate(first, false);
        isolate(second, true);
        calm(QUIET_MICROS);
        again(first, 1);
        get(first);
        calm(25_000L * random.nextInt(3));
        isolate(second, false);
        isolate(first, true);
        calm(QUIET_MICROS);
        again(second, random.nextInt(2));
        get(second);
        calm(25_000L * random.nextInt(3));
        put(second, false);
        calm(50_000);
        get(first); // cut off, and overtaken
        isolate(first, false);
    }

    private String primary() {
        List<String> leading = ips.stream()
                .filter(ip -> machines.get(ip).keeper != null
                        && machines.get(ip).keeper.primary())
                .toList();
        return leading.isEmpty() ? ips.get(0) : leading.get(random.nextInt(leading.size()));
    }

    /** An order is on its way to the disks of those who answer it when all lose power. */
    void outage() {
        String asked = ips.get(random.nextInt(ips.size()));
        put(asked, false);
        for (int i = random.nextInt(20); i > 0; i--) {
            if (random.nextInt(6) == 0) {
                sync(ips.get(random.nextInt(ips.size())));
            } else {
                deliver(ips.get(random.nextInt(ips.size())), ips.get(random.nextInt(ips.size())));
            }
        }
        restartAll();
    }

    /** Everything works again, for so long that what is slow has come to its end; then a read must answer. */
    public void heal() {
        cuts.clear();
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

    private boolean answers(Runnable asks) {
        int before = answered();
        asks.run();
        for (int i = 0; i < 200 && answered() == before; i++) {
            quiet();
            tick();
        }
        return answered() > before;
    }

    /** Everything that is on its way arrives. */
    public void quiet() {
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
    public void calm(long micros) {
        long until = now + micros;
        while (now < until) {
            quiet();
            tick();
        }
    }

    /** The machines' names. */
    public List<String> machines() {
        return ips;
    }
}
