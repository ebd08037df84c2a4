package gorsemast.fleet;

import gorsemast.fleet.Claim.State;
import gorsemast.fleet.FleetView.MemberView;
import gorsemast.fleet.Message.Kind;
import gorsemast.fleet.Message.Rumor;
import gorsemast.fleet.Roster.Member;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Who of the fleet lives, as one process sees it: events with the time in, datagrams and changes out.
 *
 * <p><b>Idea.</b> SWIM (Das, Gupta and Motivala 2002): each period one other is asked, in an order drawn anew each
 * round; who does not answer is asked through others, then suspected, and has a while to refute; news rides on what is
 * sent anyway. With Lifeguard (Dadgar, Phillips and Currey 2018): {@link LocalHealth}, {@link Suspicion}, and a suspect
 * is told first of what is said of it. Beyond both:
 * <ul>
 * <li>Restarts. A later generation at the address of an earlier one ends that at once, as an address has one process. A
 *   process that hears of its own address under a generation above its own (the clock was set back) raises its own.
 *   Two processes of one name at two addresses are two members; that is reported, and neither ends the other.
 * <li>Proof of death. Where the machine of a silent process says that nobody listens there, it is gone, not silent.
 * <li>Healing. The dead are tried again, each at a falling rate, one a period at most; who answers is told what is said
 *   of it, refutes, and the two compare all they know. Seeds that nobody answers at are tried as seldom.
 * <li>Pauses. What was due while this process did not run counts from when it runs again.
 * <li>Comparison by digests with one other, at a start, each {@link FleetSettings#syncPeriods()}, and soon where an
 *   answer shows that the views differ.
 * </ul>
 *
 * <p><b>Bounds.</b> Each period a process sends one question and answers one in the mean, asks {@code indirect} others
 * for each that fails, and while there is news tells {@code fanout} others at each fifth of a period: independent of the
 * fleet's size. A datagram holds {@link #MOST_BYTES} at most. Memory: {@link Roster}.
 *
 * <p>Times in microseconds from any origin, never going back. Not thread-safe. Actions must not call back.
 */
public final class Fleet {
    /** What a datagram may hold: less than fits in any network's packets, with room for its frame. */
    public static final int MOST_BYTES = 1_200;
    /** What a datagram's head takes at most: two ids, an address, a third id, the digest, the frame. */
    private static final int HEAD_BYTES = 420;
    /** The digests of all buckets. */
    private static final int DIGESTS_BYTES = 9 * Roster.BUCKETS;
    /** So many datagrams at most answer one comparison; what is left comes with the next, as views still differ. */
    private static final int SYNC_DATAGRAMS = 16;
    /** How long a question asked for another is remembered, in periods. */
    private static final int RELAY_PERIODS = 4;
    /** The dead and unanswered seeds are tried after so many periods at first, twice as many each time, up to these. */
    private static final int FIRST_TRY = 2;

    private static final int LAST_TRY = 32;
    /** Views that differ for so many periods are compared, however little else there is to say. */
    private static final int DIFFER_PERIODS = 2;
    /** Every so many steps of a period news is told. */
    private static final int NEWS_STEPS = 2;

    /** What it wants done. Implementations must not call back. */
    public interface Actions {
        /** Sends a datagram, which may come late, twice or not at all. */
        void send(String address, Message message);

        /**
         * Asks the machine at that address whether anybody listens there; {@link Fleet#refused} if it says no. Optional:
         * without it nobody is ever proven gone but by a later process at his address.
         */
        default void inquire(String address) {}

        /** The set of those that live has changed, or the facts of one. */
        void changed();

        /** A line for the operator. */
        void log(String text);
    }

    private record Relayed(
            ProcessId asker, String address, long sequence, long nackAt, long endsAt, boolean[] nacked) {}

    private static final class Probe {
        final ProcessId target;
        final long sequence;
        long indirectAt;
        long endsAt;
        boolean indirect;
        int nacksDue;

        Probe(ProcessId target, long sequence, long indirectAt, long endsAt) {
            this.target = target;
            this.sequence = sequence;
            this.indirectAt = indirectAt;
            this.endsAt = endsAt;
        }
    }

    private static final class Seed {
        long tryAt;
        long pause;
    }

    private final FleetSettings settings;
    private final SplittableRandom random;
    private final Actions actions;
    private final String address;
    private final Roster roster;
    private final Rumors rumors = new Rumors();
    private final LocalHealth health;
    private final Deque<ProcessId> order = new ArrayDeque<>();
    private final Map<Long, Relayed> relayed = new LinkedHashMap<>();
    private final Map<String, Seed> seeds = new LinkedHashMap<>();
    private final Set<String> sharedNames = new HashSet<>();
    /** Since when all answers have shown other views than ours; {@link Long#MIN_VALUE} where the last one agreed. */
    private long differsSince = Long.MIN_VALUE;

    private ProcessId self;
    private Probe probe;
    private long now;
    private long steps;
    private long steppedAt;
    private long periodAt;
    private long syncAt;
    private long sequence;
    private long viewSince;
    private long viewDigest;
    private boolean left;

    /**
     * @param address where the others reach this process, {@code host:port}
     * @param seed for all that is drawn
     */
    public Fleet(FleetSettings settings, ProcessId self, String address, long seed, Actions actions) {
        this.settings = settings;
        this.self = self;
        this.address = address;
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        this.roster = new Roster(settings.remembered());
        this.health = new LocalHealth(settings.localHealth());
    }

    // ---- events

    /** Begins; {@code addresses} are those at which others may be, its own among them or not. */
    public void start(long time, Collection<String> addresses) {
        now = time;
        steppedAt = time;
        periodAt = time + random.nextLong(settings.period());
        syncAt = time + settings.syncPeriods() * settings.period();
        for (String seed : addresses) {
            if (!seed.equals(address)) {
                Seed unknown = new Seed();
                unknown.tryAt = time;
                unknown.pause = settings.period();
                seeds.put(seed, unknown);
            }
        }
        roster.put(time, Claim.first(self, address), "this process");
        tell(roster.get(self).claim, self.name());
        viewSince = time;
        viewDigest = roster.digest();
        joinSeeds();
    }

    /** Changes what this process tells of itself; empty values are dropped. */
    public void facts(long time, Map<String, String> changes) {
        now = time;
        Claim mine = mine();
        SortedMap<String, String> facts = new TreeMap<>(mine.facts());
        facts.putAll(changes);
        facts.values().removeIf(String::isEmpty);
        if (!left && !facts.equals(mine.facts())) {
            roster.put(now, mine.with(facts), "this process");
            tell(mine(), self.name());
            actions.changed();
        }
    }

    /** Says that it ends, to as many as one round of news reaches; nothing is asked or answered any more. */
    public void leave(long time) {
        now = time;
        if (left) {
            return;
        }
        left = true;
        roster.put(now, mine().in(State.LEFT), "it ends");
        tell(mine(), self.name());
        for (int i = 0; i < 2; i++) { // twice, as nobody asks for it again
            for (Member other : draw(settings.fanout() * 2, self)) {
                send(Kind.GOSSIP, other, 0);
            }
        }
    }

    /** A step is due each {@link FleetSettings#step()}; that it comes late is seen here. */
    public void step(long time) {
        now = time;
        if (left) {
            return;
        }
        awake();
        steps++;
        endProbe();
        endSuspicions();
        endRelayed();
        if (now >= periodAt) {
            periodAt = Math.max(periodAt + health.scaled(settings.period()), now);
            roster.forgetBefore(now - settings.forget());
            ask();
            joinSeeds();
            tryDead();
        }
        if (steps % NEWS_STEPS == 0 && !rumors.isEmpty()) {
            for (Member other : draw(settings.fanout(), self)) {
                if (!rumors.isEmpty()) {
                    send(Kind.GOSSIP, other, 0);
                }
            }
        }
        if (now >= syncAt) {
            draw(1, self).forEach(this::sync);
        }
        changed();
    }

    /** The machine at an address says that nobody listens there. */
    public void refused(long time, String at) {
        now = time;
        Member member = roster.at(at);
        if (member != null && member.claim.id().equals(self)) {
            return;
        }
        if (member == null) { // held silent already: now it is known
            member = roster.all().stream()
                    .filter(m ->
                            m.claim.state() == State.SILENT && m.claim.address().equals(at))
                    .findFirst()
                    .orElse(null);
        }
        if (member != null) {
            learn(member.claim.in(State.GONE), self.name(), "nobody listens at its address");
            changed();
        }
    }

    /** A datagram has come. One that is not for this fleet must have been dropped before. */
    public void received(long time, String at, Message message) {
        now = time;
        if (left || message.from().equals(self)) {
            return;
        }
        for (Rumor rumor : message.rumors()) {
            learn(rumor.claim(), rumor.witness(), null);
        }
        Member sender = heard(message.from(), at);
        switch (message.kind()) {
            case PING -> {
                reply(Kind.ACK, message, at, sender);
                if (sender == null) {
                    introduce(message.from(), at);
                }
            }
            case ACK -> {
                answered(message.sequence(), message.about() == null ? message.from() : message.about());
                compare(sender, message.view());
            }
            case NACK -> {
                if (probe != null && probe.sequence == message.sequence()) {
                    probe.nacksDue--;
                }
            }
            case PING_REQUEST -> relay(message, at);
            case GOSSIP -> {}
            case SYNC -> {
                long differing = roster.differing(message.buckets());
                if (sender == null) {
                    introduce(message.from(), at);
                }
                if (differing != 0 || sender == null) {
                    sendClaims(Kind.SYNC_REPLY, message.from(), at, differing);
                }
            }
            case SYNC_REPLY -> {
                if (!message.buckets().isEmpty()) {
                    sendClaims(
                            Kind.SYNC_REST,
                            message.from(),
                            at,
                            message.buckets().get(0));
                }
            }
            default -> {}
        }
        changed();
    }

    /** What it believes now. */
    public FleetView view(long time) {
        List<MemberView> members = new ArrayList<>(roster.size());
        boolean doubt = health.score() > 0 || left;
        for (Member m : roster.all()) {
            doubt |= m.claim.state() == State.SUSPECT;
            members.add(new MemberView(
                    m.claim.id(),
                    m.claim.address(),
                    m.claim.state(),
                    m.claim.incarnation(),
                    time - m.since,
                    m.why,
                    m.claim.facts()));
        }
        long stood = time - viewSince;
        return new FleetView(
                self, roster.digest(), stood, !doubt && stood >= settings.settle(), health.score(), members);
    }

    /** Who this process is; a clock that was set back may have raised its generation since the start. */
    public ProcessId self() {
        return self;
    }

    // ---- asking

    /** What was due while this process did not run must not be held against others. */
    private void awake() {
        long gap = now - steppedAt - settings.step();
        steppedAt = now;
        if (gap < settings.timeout() || !settings.localHealth()) {
            return;
        }
        health.worse(1 + gap / settings.period());
        if (probe != null) {
            probe.indirectAt += gap;
            probe.endsAt += gap;
        }
        for (Member member : roster.all()) {
            if (member.suspicion != null) {
                member.suspicion.postpone(gap);
            }
        }
        syncAt = Math.min(syncAt, now + settings.period()); // much may have happened
    }

    private void ask() {
        if (probe != null) {
            return; // a slow process asks less often than each period
        }
        ProcessId next = next();
        if (next == null) {
            return;
        }
        probe = new Probe(
                next,
                ++sequence,
                now + health.scaled(settings.timeout()),
                now + health.scaled(settings.period()) - settings.step());
        send(Kind.PING, roster.get(next), probe.sequence);
    }

    /** Each once in a round, in an order that is drawn anew: so that the longest wait is two rounds. */
    private ProcessId next() {
        for (int round = 0; round < 2; round++) {
            while (!order.isEmpty()) {
                ProcessId next = order.poll();
                Member member = roster.get(next);
                if (member != null && member.live() && !next.equals(self)) {
                    return next;
                }
            }
            List<ProcessId> all = new ArrayList<>();
            roster.all().stream()
                    .filter(m -> m.live() && !m.claim.id().equals(self))
                    .forEach(m -> all.add(m.claim.id()));
            for (int i = all.size() - 1; i > 0; i--) {
                Collections.swap(all, i, random.nextInt(i + 1));
            }
            order.addAll(all);
        }
        return null;
    }

    private void endProbe() {
        if (probe == null) {
            return;
        }
        Member target = roster.get(probe.target);
        if (target == null || !target.live()) {
            probe = null;
        } else if (!probe.indirect && now >= probe.indirectAt) {
            probe.indirect = true;
            for (Member helper : draw(settings.indirect(), probe.target)) {
                if (!helper.claim.id().equals(self)) {
                    probe.nacksDue++;
                    actions.send(
                            helper.claim.address(),
                            new Message(
                                    Kind.PING_REQUEST,
                                    self,
                                    helper.claim.id(),
                                    probe.sequence,
                                    target.claim.address(),
                                    probe.target,
                                    roster.digest(),
                                    List.of(),
                                    rumors.take(MOST_BYTES - HEAD_BYTES, roster.live(), null)));
                }
            }
            actions.inquire(target.claim.address());
        } else if (now >= probe.endsAt) {
            // Whoever was asked and has not even said that he has no answer either leaves the fault with us.
            health.worse(probe.nacksDue > 0 ? probe.nacksDue : 1);
            Probe failed = probe;
            probe = null;
            learn(
                    target.claim.in(State.SUSPECT),
                    self.name(),
                    "no answer to " + self.name() + " nor to " + (failed.indirect ? settings.indirect() : 0)
                            + " others");
        }
    }

    private void answered(long answer, ProcessId from) {
        if (probe != null && probe.sequence == answer) {
            if (probe.target.equals(from)) {
                health.better();
            }
            // Another process answers at that address: that one has been heard and has ended the asked one there.
            probe = null;
        }
        Relayed asked = relayed.remove(answer);
        if (asked != null) {
            actions.send(
                    asked.address(),
                    new Message(Kind.ACK, self, asked.asker(), asked.sequence(), "", from, 0, List.of(), List.of()));
        }
    }

    private void relay(Message request, String at) {
        if (request.about() == null || request.address().isEmpty()) {
            return;
        }
        long mine = ++sequence;
        relayed.put(
                mine,
                new Relayed(
                        request.from(),
                        at,
                        request.sequence(),
                        now + settings.timeout() * 4 / 5,
                        now + RELAY_PERIODS * settings.period(),
                        new boolean[1]));
        Member about = roster.get(request.about());
        actions.send(request.address(), message(Kind.PING, request.about(), mine, about));
    }

    private void endRelayed() {
        relayed.values().removeIf(asked -> now >= asked.endsAt());
        for (Relayed asked : relayed.values()) {
            if (now >= asked.nackAt() && !asked.nacked()[0]) {
                asked.nacked()[0] = true;
                actions.send(
                        asked.address(),
                        new Message(
                                Kind.NACK, self, asked.asker(), asked.sequence(), "", null, 0, List.of(), List.of()));
            }
        }
    }

    // ---- what is said of whom

    /** Takes in a claim; what is new is passed on. {@code why} is null for what others say. */
    private void learn(Claim claim, String witness, String why) {
        if (claim.id().equals(self)) {
            defend(claim);
            return;
        }
        if (claim.id().name().equals(self.name())
                && claim.address().equals(address)
                && claim.id().generation() > self.generation()
                && claim.id().generation() < Long.MAX_VALUE) {
            rejuvenate(claim.id().generation() + 1);
            return;
        }
        Member known = roster.get(claim.id());
        if (known == null) {
            // Of the dead that were never known here nothing needs to be known.
            if (claim.state().live() && !replaced(claim)) {
                roster.put(now, claim, why == null ? witness + " says so" : why);
                added(claim);
                if (claim.state() == State.SUSPECT) {
                    suspect(roster.get(claim.id()), witness);
                }
                tell(claim, witness);
            }
            return;
        }
        Claim before = known.claim;
        Claim joined = before.join(claim);
        if (joined.equals(before)) {
            if (claim.state() == State.SUSPECT
                    && before.state() == State.SUSPECT
                    && claim.incarnation() == before.incarnation()
                    && known.suspicion != null
                    && known.suspicion.confirm(witness)) {
                rumors.add(new Rumor(before, witness));
            } else if (claim.standing(before) < 0
                    && !before.state().live()
                    && claim.state().live()) {
                tell(before, self.name()); // old words of the dead: whoever still believes them is told
            }
            return;
        }
        boolean raised = !before.state().live() && joined.state().live();
        roster.put(now, joined, why != null ? why : says(joined, witness));
        tell(joined, witness);
        if (joined.state() == State.SUSPECT) {
            if (before.state() != State.SUSPECT || before.incarnation() != joined.incarnation()) {
                suspect(known, witness);
            }
        } else {
            known.suspicion = null;
        }
        if (raised) {
            added(joined);
        } else if (before.state().live() && !joined.state().live()) {
            dead(known);
        }
        if (!before.facts().equals(joined.facts())) {
            actions.changed();
        }
    }

    private static String says(Claim claim, String witness) {
        return switch (claim.state()) {
            case ALIVE -> witness.equals(claim.id().name()) ? "it says so" : witness + " says so";
            case SUSPECT -> witness + " has no answer";
            case SILENT -> "it has not refuted in time, says " + witness;
            case GONE -> witness + " has proof";
            case LEFT -> "it has said that it ends";
        };
    }

    /** A word of this process itself that is not its own, or not its last. */
    private void defend(Claim claim) {
        Claim mine = mine();
        boolean worse = claim.state() != State.ALIVE && claim.incarnation() >= mine.incarnation();
        if (worse || claim.incarnation() > mine.incarnation() || claim.version() > mine.version()) {
            health.worse(worse ? 1 : 0);
            long incarnation = Math.max(mine.incarnation(), claim.incarnation()) + 1;
            if (claim.state() == State.LEFT || incarnation >= Claim.MAX_INCARNATION) {
                rejuvenate(self.generation() + 1); // final for that generation, whoever has said so
                return;
            }
            Claim next = mine.refuted(incarnation);
            if (claim.version() > mine.version()) {
                next = new Claim(self, address, incarnation, State.ALIVE, claim.version() + 1, mine.facts());
            }
            roster.put(now, next, "this process");
            tell(next, self.name());
        }
    }

    /** Goes on under a higher generation, as its own is taken or spent. */
    private void rejuvenate(long generation) {
        actions.log("generation raised: " + self + " goes on as generation " + generation);
        Claim old = mine();
        roster.put(now, old.in(State.GONE), "this process goes on under a later generation");
        self = new ProcessId(self.name(), generation);
        roster.put(now, new Claim(self, address, 0, State.ALIVE, 1, old.facts()), "this process");
        tell(mine(), self.name());
    }

    /** Whether a later generation of this name is known at its address. */
    private boolean replaced(Claim claim) {
        Member there = roster.at(claim.address());
        return there != null
                        && there.claim.id().name().equals(claim.id().name())
                        && there.claim.id().generation() > claim.id().generation()
                || roster.all().stream()
                        .anyMatch(m -> m.claim.id().name().equals(claim.id().name())
                                && m.claim.address().equals(claim.address())
                                && m.claim.id().generation() > claim.id().generation());
    }

    /** One that was not live is: earlier generations at its address have ended, other ones of its name are looked at. */
    private void added(Claim claim) {
        for (Member other : List.copyOf(roster.all())) {
            Claim old = other.claim;
            if (!old.id().name().equals(claim.id().name()) || old.id().equals(claim.id()) || !other.live()) {
                continue;
            }
            if (old.address().equals(claim.address())) {
                boolean earlier = old.id().generation() < claim.id().generation();
                Member ended = roster.get(earlier ? old.id() : claim.id());
                learn(ended.claim.in(State.GONE), self.name(), "a later generation has its address");
            } else if (!old.id().equals(self)) {
                actions.inquire(old.address());
                order.addFirst(old.id());
            }
        }
        // Not behind all others: who dies as soon as it has come would be asked a whole round later.
        List<ProcessId> row = new ArrayList<>(order);
        row.add(random.nextInt(row.size() + 1), claim.id());
        order.clear();
        order.addAll(row);
        actions.log("member " + claim.id() + " at " + claim.address());
    }

    private void dead(Member member) {
        member.suspicion = null;
        member.pause = FIRST_TRY * settings.period();
        member.tryAt = now + jittered(member.pause);
        actions.log("member " + member.claim.id() + " " + member.claim.state() + ": " + member.why);
    }

    private void suspect(Member member, String witness) {
        double spread = Math.max(1, Math.log10(Math.max(1, roster.live())));
        long least = (long) (settings.suspicionLeast() * spread * settings.period());
        member.suspicion =
                new Suspicion(now, witness, least, (long) (least * settings.suspicionMost()), roster.live() - 2);
    }

    private void endSuspicions() {
        for (Member member : List.copyOf(roster.all())) {
            if (member.suspicion != null && now >= member.suspicion.endsAt(health)) {
                learn(member.claim.in(State.SILENT), self.name(), "it has not refuted in time");
            }
        }
    }

    /** Whoever sends a datagram lives, whatever is said of it; it is told that, and says so itself. */
    private Member heard(ProcessId from, String at) {
        Member sender = roster.get(from);
        Member there = roster.at(at);
        if (there != null && !there.claim.id().equals(from) && !there.claim.id().equals(self)) {
            learn(there.claim.in(State.GONE), self.name(), "another process answers at its address");
        }
        if (sender == null) {
            return null;
        }
        sender.heardAt = now;
        if (sender.live()) {
            Member twin = roster.all().stream()
                    .filter(m -> m != sender
                            && m.live()
                            && m.claim.id().name().equals(from.name())
                            && m.heardAt != Long.MIN_VALUE
                            && now - m.heardAt < 2 * settings.period())
                    .findFirst()
                    .orElse(null);
            if (twin != null && sharedNames.add(from.name())) {
                actions.log("name " + from.name() + " is used at " + at + " and at " + twin.claim.address()
                        + ": an upgrade, or two machines");
            }
        }
        return sender;
    }

    // ---- news, comparison, healing

    private void tell(Claim claim, String witness) {
        rumors.add(new Rumor(claim, witness));
    }

    private Message message(Kind kind, ProcessId to, long number, Member about) {
        // Who is suspected or held dead is told so first, that it may refute: Lifeguard's buddy system.
        Rumor first = about != null && about.claim.state() != State.ALIVE ? new Rumor(about.claim, self.name()) : null;
        return new Message(
                kind,
                self,
                to,
                number,
                "",
                null,
                roster.digest(),
                List.of(),
                rumors.take(MOST_BYTES - HEAD_BYTES, roster.live(), first));
    }

    private void send(Kind kind, Member to, long number) {
        actions.send(to.claim.address(), message(kind, to.claim.id(), number, to));
    }

    private void reply(Kind kind, Message to, String at, Member sender) {
        actions.send(at, message(kind, to.from(), to.sequence(), sender));
    }

    /** One that is not known here asks or compares: it is told who this is, and asked what it knows. */
    private void introduce(ProcessId to, String at) {
        actions.send(
                at,
                new Message(
                        Kind.SYNC,
                        self,
                        to,
                        0,
                        "",
                        null,
                        roster.digest(),
                        roster.buckets(),
                        List.of(new Rumor(mine(), self.name()))));
    }

    private void sync(Member with) {
        syncAt = now + settings.syncPeriods() * settings.period();
        actions.send(
                with.claim.address(),
                new Message(
                        Kind.SYNC,
                        self,
                        with.claim.id(),
                        0,
                        "",
                        null,
                        roster.digest(),
                        roster.buckets(),
                        rumors.take(
                                MOST_BYTES - HEAD_BYTES - DIGESTS_BYTES,
                                roster.live(),
                                with.claim.state() == State.ALIVE ? null : new Rumor(with.claim, self.name()))));
    }

    /** Views that go on differing are compared: news may have been lost. */
    private void compare(Member with, long view) {
        if (with == null || view == 0) {
            return;
        }
        if (view == roster.digest()) {
            differsSince = Long.MIN_VALUE;
        } else if (differsSince == Long.MIN_VALUE) {
            differsSince = now;
        } else if (now - differsSince >= DIFFER_PERIODS * settings.period()) {
            differsSince = now;
            sync(with);
        }
    }

    private void sendClaims(Kind kind, ProcessId to, String at, long mask) {
        List<Rumor> part = new ArrayList<>();
        part.add(new Rumor(mine(), self.name()));
        int room = MOST_BYTES - HEAD_BYTES - part.get(0).size();
        int sent = 0;
        List<Long> meant = List.of(mask); // with the first one only: it is answered once
        for (Member member : roster.all()) {
            boolean due = (mask >> Roster.bucket(member.claim.id()) & 1) != 0
                    && !member.claim.id().equals(self);
            if (!due) {
                continue;
            }
            Rumor rumor = new Rumor(member.claim, self.name());
            if (rumor.size() > room) {
                actions.send(at, new Message(kind, self, to, 0, "", null, roster.digest(), meant, List.copyOf(part)));
                meant = List.of();
                part.clear();
                room = MOST_BYTES - HEAD_BYTES;
                if (++sent >= SYNC_DATAGRAMS) {
                    return;
                }
            }
            room -= rumor.size();
            part.add(rumor);
        }
        if (!part.isEmpty()) {
            actions.send(at, new Message(kind, self, to, 0, "", null, roster.digest(), meant, List.copyOf(part)));
        }
    }

    /** Seeds at which nobody is known are asked, at a falling rate; never given up, as all may have gone meanwhile. */
    private void joinSeeds() {
        seeds.forEach((at, seed) -> {
            if (roster.at(at) != null) {
                seed.pause = settings.period();
                seed.tryAt = now + seed.pause;
            } else if (now >= seed.tryAt) {
                seed.tryAt = now + jittered(seed.pause);
                seed.pause = Math.min(2 * seed.pause, LAST_TRY * settings.period());
                introduce(null, at);
            }
        });
    }

    /** One of the dead that are due, the longest due first; a later process at its address spares the trial. */
    private void tryDead() {
        Member next = null;
        for (Member member : roster.all()) {
            boolean dead = member.claim.state() == State.SILENT || member.claim.state() == State.GONE;
            if (dead
                    && member.tryAt <= now
                    && (next == null || member.tryAt < next.tryAt)
                    && roster.at(member.claim.address()) == null
                    && roster.latest(member.claim.id())) {
                next = member;
            }
        }
        if (next != null) {
            next.tryAt = now + jittered(next.pause);
            next.pause = Math.min(2 * next.pause, LAST_TRY * settings.period());
            sync(next);
            actions.inquire(next.claim.address());
        }
    }

    private long jittered(long pause) {
        return pause / 2 + random.nextLong(pause);
    }

    // ---- all else

    private Claim mine() {
        return roster.get(self).claim;
    }

    /** So many of the live, drawn without this process and {@code not}. */
    private List<Member> draw(int many, ProcessId not) {
        List<Member> from = new ArrayList<>();
        for (Member member : roster.all()) {
            if (member.live()
                    && !member.claim.id().equals(self)
                    && !member.claim.id().equals(not)) {
                from.add(member);
            }
        }
        for (int i = 0; i < many && i < from.size(); i++) {
            Collections.swap(from, i, i + random.nextInt(from.size() - i));
        }
        return from.subList(0, Math.min(many, from.size()));
    }

    private void changed() {
        if (roster.digest() != viewDigest) {
            viewDigest = roster.digest();
            viewSince = now;
            actions.changed();
        }
    }
}
