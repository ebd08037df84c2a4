package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import gorsemast.node.FaultTolerance;
import gorsemast.store.Message.Append;
import gorsemast.store.Message.AppendAck;
import gorsemast.store.Message.Confirm;
import gorsemast.store.Message.ConfirmAck;
import gorsemast.store.Message.Heartbeat;
import gorsemast.store.Message.Install;
import gorsemast.store.Message.InstallAck;
import gorsemast.store.Message.Leave;
import gorsemast.store.Message.RequestVote;
import gorsemast.store.Message.ViewChange;
import gorsemast.store.Message.Vote;
import gorsemast.store.Message.VoteRefused;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The decisions of one member of the store.
 *
 * <p><b>Idea.</b> One primary writes to its backups before it answers; the other members are witnesses that keep
 * terms only. A new term is granted by more than half of the members, each of which has its promise on disk before it
 * votes; a voter hands over what it holds, and the elected installs the newest of that at its backups before it
 * acknowledges anything. There are as many backups as losses are to be borne, so of {@code 2f + 1} members any majority
 * meets primary or backups. This is Viewstamped Replication's change of views (Oki and Liskov 1988, Liskov and Cowling
 * 2012) over one register whose highest version holds, with witnesses as in Harp (Liskov et al. 1991); there is no log.
 * Members are exchanged one at a time through a view in which both lists must grant (joint consensus, Ongaro and
 * Ousterhout 2014).
 *
 * <p><b>Why two never acknowledge at once.</b> A primary answers only after all its backups have said, in its term,
 * that they hold it. Who wins a later term has the promise of a majority, and so of the primary or of a backup; that
 * one takes no part in the older term any more. What was acknowledged is held by all of primary and backups, so that
 * voter hands it over, or something newer.
 *
 * <p><b>Threading and time.</b> One caller; times in microseconds of a clock that never goes back. Nothing here does
 * I/O: {@link Output} is told what to send, save and answer, and calls {@link #saved} when a save is on disk, in order.
 */
public final class Replica {
    /** How often members say that they live. */
    static final long PING_MICROS = 150_000;
    /** A primary that was not heard for this long is followed by another: four signs of life. */
    static final long SILENT_MICROS = Liveness.SILENT_MICROS;
    /** What an election or an installation may take before it is begun anew; a disk of 5 ms and two ways are 15. */
    static final long ROUND_MICROS = 400_000;
    /** Candidates stand back by up to this, so that they seldom meet. */
    static final long STAND_BACK_MICROS = 250_000;
    /** For so long after its start a member may tell what it keeps before there is a primary. */
    static final long EARLY_MICROS = 1_000_000;
    /**
     * Whose disk has not ended a save for this long leads no more and stands for no term; a backup that has not answered for
     * as long is passed over. Many times what a sound disk takes, and short enough that with {@link #SILENT_MICROS} and an
     * election after it an order is still acknowledged in time.
     */
    static final long SLOW_MICROS = 750_000;
    /** Within this a candidate waits for votes that would give it better placed backups. */
    static final long BETTER_MICROS = ROUND_MICROS / 2;
    /** What is asked and can't be done by then is given up; whoever asked asks somebody else. */
    static final long CALL_MICROS = 2_500_000;

    /** What it wants done. */
    public interface Output {
        /** Sends a message; it may be lost. */
        void send(Member to, Message message);

        /** Puts this on disk, synced; {@link Replica#saved} is to be called with the token then, in the order of saves. */
        void save(ReplicaState state, boolean keptToo, long token);

        /** The end of a call; with the version that holds, unless nothing is certain. */
        void complete(long call, CallOutcome outcome, StoredVersion kept);

        /** A configuration that is acknowledged from now on, here as primary. */
        void committed(StoredVersion kept);

        /** A call that only the primary can do, and this is not it. */
        void forward(long call, Member primary);

        /** A sentence for the operator. */
        void log(String sentence);
    }

    private enum Role {
        FOLLOWER,
        CANDIDATE,
        INSTALLING,
        PRIMARY
    }

    private final Output out;
    private final SplittableRandom random;
    private final long slowMicros;
    private final Saves saves;
    private final Membership membership;
    private final Liveness liveness;
    private Member me;
    private long promised;
    /** The highest term that any member has said to have promised; a hint for the next one to ask for. */
    private long highest;
    /** In this life of the process it was a member, and has been replaced since: a joint view may need its vote yet. */
    private boolean replaced;

    private View view;
    private StoredVersion kept;
    private Role role = Role.FOLLOWER;
    private long now;
    private long roundUntil;
    private long standBackUntil;
    private long pingAt;
    private View proposed;
    private StoredVersion best;
    private final Set<String> granted = new HashSet<>();
    private final Set<String> installed = new HashSet<>();

    private final LeaderHint leader = new LeaderHint();
    private final EarlyAnswers early = new EarlyAnswers();
    private final CallQueue orders;

    /**
     * A member as its disk has it.
     *
     * @param losses how many disks may be lost at the same time: so many backups
     */
    public Replica(ReplicaState saved, int losses, long seed, Output out) {
        this(saved, FaultTolerance.ofMachines(losses), Location.UNKNOWN, seed, out);
    }

    /**
     * A member as its disk has it.
     *
     * @param tolerance what may be lost at the same time
     * @param place where its machine stands
     */
    public Replica(ReplicaState saved, FaultTolerance tolerance, Location place, long seed, Output out) {
        this(saved, tolerance, place, seed, SLOW_MICROS, out);
    }

    /** The same with a bound of its own in place of {@link #SLOW_MICROS}, in microseconds. */
    public Replica(
            ReplicaState saved, FaultTolerance tolerance, Location place, long seed, long slowMicros, Output out) {
        this.slowMicros = slowMicros;
        this.me = saved.self();
        this.promised = saved.promised();
        this.view = saved.view();
        this.saves = new Saves(slowMicros, view, () -> pingAt = Math.min(pingAt, now)); // the replaced may wait for it
        this.kept = saved.stored();
        this.membership = new Membership(tolerance, place);
        this.liveness = membership.liveness;
        this.random = new SplittableRandom(seed);
        this.out = out;
        this.orders = new CallQueue(out);
    }

    /** The first view, before any election. */
    public static View initialView(List<Member> members) {
        return new View(0, "", List.of(), List.copyOf(members), List.of());
    }

    /** Whether it acknowledges now. */
    public boolean isPrimary() {
        return role == Role.PRIMARY;
    }

    /** The view as it knows it. */
    public View view() {
        return view;
    }

    /** All that it knows of, for whoever keeps links to them; one for each address, members of the view first. */
    public List<Member> knownMembers() {
        Map<String, Member> all = new LinkedHashMap<>();
        view.voters().forEach(member -> all.putIfAbsent(member.ip(), member));
        liveness.others(view).forEach(member -> all.putIfAbsent(member.ip(), member));
        return new ArrayList<>(all.values());
    }

    /** What it keeps now. */
    public StoredVersion stored() {
        return kept;
    }

    /**
     * Whether what it keeps may be told to edges without a round: a primary that has acknowledged it, or a member that
     * has just started, holds what its view's primary vouched for, and has heard in this life from a majority that knows of no
     * later view. Whoever begins a later term has its view at more than half of the members first, so what a later term
     * has refused is not told; a start that takes longer than {@link #EARLY_MICROS} waits for an election or a primary.
     */
    public boolean mayServeStored() {
        if (role == Role.PRIMARY) {
            return kept == orders.agreed();
        }
        boolean holds = kept.term() == view.term(); // primary or backup, and not only told of the view
        return holds && early.allowed(view, me.id(), now);
    }

    // ---- events

    /** To be called every few tens of milliseconds. */
    public void tick(long time) {
        now = time;
        if (early.begin(now)) {
            standBack();
        }
        if (now >= pingAt) {
            pingAt = now + PING_MICROS;
            liveness.forget(view, now);
            String lacks =
                    role == Role.PRIMARY && view.previousMembers().isEmpty() ? membership.lacks(view, me, now) : null;
            if (lacks != null) {
                out.log(lacks);
            }
            for (Member other : knownMembers()) {
                send(other, heartbeat());
            }
        }
        orders.expireWaiting(now);
        if (orders.expireWorking(now)) {
            next();
        }
        if (!view.isVoter(me.id())) {
            return;
        }
        switch (role) {
            case FOLLOWER -> {
                boolean may = !saves.slow(now) && !membership.yields(view, me, now);
                if (leader.silent(now) && may && now >= standBackUntil && reachesMost()) {
                    stand(null);
                }
            }
            case CANDIDATE, INSTALLING -> {
                if (now > roundUntil) {
                    role = Role.FOLLOWER;
                    standBack();
                } else if (role == Role.CANDIDATE) {
                    elect(promised);
                }
            }
            case PRIMARY -> lead();
        }
    }

    /** A sign of life, for whoever has just come. */
    public Message heartbeat() {
        return new Heartbeat(
                me,
                promised,
                view.term(),
                saves.settled(),
                role == Role.PRIMARY,
                membership.leaving(),
                membership.place());
    }

    /** What a primary does for the membership: one change at a time, and none before the last one is over. */
    private void lead() {
        if (saves.slow(now)) {
            out.log("is primary no more: its disk ends nothing");
            role = Role.FOLLOWER;
            standBack();
            orders.fail();
            return;
        }
        if (!reachesMost()) {
            return;
        }
        Membership.Step step = membership.step(view, me, now);
        if (step == null
                && orders.slow(view.backups(), slowMicros, now)
                && !membership.yields(view, me, now)
                && view.previousMembers().isEmpty()) {
            step = new Membership.Step(null, "has a backup of term " + view.term() + " that does not answer");
        }
        if (step != null) {
            out.log(step.reason());
            stand(step.members());
        }
    }

    // ---- leaving

    /** Its process was asked to end: others follow it, and it serves on until {@link #mayStop}. */
    public void leave(long time) {
        now = time;
        membership.leave(now);
        out.log("leaves as " + role + " of term " + view.term());
        for (Member other : knownMembers()) {
            send(other, new Leave(me));
        }
    }

    /**
     * Whether its process may end: it is no member any more; or nobody is there to take its place, and it holds no copy
     * that is counted on, or has waited {@link Membership#HAND_OVER_MICROS} for others to take over.
     */
    public boolean mayStop(long time) {
        now = time;
        boolean copy = role != Role.FOLLOWER
                || me.id().equals(view.primary())
                || view.backups().contains(me.id());
        return membership.left(view, me, copy, now);
    }

    /** Another one leaves: if it led, its first backup stands at once, and the others a moment later. */
    private void leave(Leave leave) {
        String from = leave.from().id();
        membership.leaves(from);
        if (!view.isVoter(from)) {
            send(leave.from(), new ViewChange(me, view));
        } else if (from.equals(leader.primary())) {
            leader.expire();
            boolean first = !view.backups().isEmpty() && view.backups().get(0).equals(me.id());
            standBackUntil = now + (first ? 0 : STAND_BACK_MICROS / 5 + random.nextLong(STAND_BACK_MICROS));
        }
    }

    private boolean reachesMost() {
        Set<String> alive = liveness.alive(now);
        alive.add(me.id());
        return view.isMajority(alive);
    }

    private void standBack() {
        boolean first = me.id().equals(view.primary())
                || view.term() == 0
                        && !view.members().isEmpty()
                        && view.members().get(0).equals(me);
        standBackUntil = now + (first ? 0 : STAND_BACK_MICROS / 5) + random.nextLong(STAND_BACK_MICROS);
    }

    /** Asks for the next term, with other members where they are given. */
    private void stand(List<Member> members) {
        role = Role.CANDIDATE;
        roundUntil = now + ROUND_MICROS;
        promised = Math.max(promised, highest) + 1;
        long term = promised;
        out.log("stands for term " + term);
        granted.clear();
        best = kept;
        proposed = members == null
                ? view
                : new View(view.term(), view.primary(), view.backups(), List.copyOf(members), view.members());
        save(false, () -> {
            if (role == Role.CANDIDATE && promised == term) {
                granted.add(me.id());
                for (Member member : view.voters()) {
                    if (!member.equals(me)) {
                        send(member, new RequestVote(me, term, view.term(), kept.withoutBody()));
                    }
                }
                elect(term);
            }
        });
    }

    /** A message from another member, or from a machine that asks to be one. */
    public void receive(long time, Message message) {
        now = time;
        liveness.heard(message.from(), now);
        if (message instanceof Heartbeat heartbeat) {
            heartbeat(heartbeat);
        } else if (message instanceof Leave leave) {
            leave(leave);
        } else if (message instanceof RequestVote request) {
            requestVote(request);
        } else if (message instanceof Vote vote) {
            vote(vote);
        } else if (message instanceof VoteRefused refused) {
            voteRefused(refused);
        } else if (message instanceof Install install) {
            install(install);
        } else if (message instanceof InstallAck ack) {
            installAck(ack);
        } else if (message instanceof ViewChange change) {
            viewChange(change);
        } else if (message instanceof Append append) {
            append(append);
        } else if (message instanceof Confirm confirm) {
            confirm(confirm);
        } else if (message instanceof AppendAck ack) {
            acknowledged(ack.from(), ack.term(), ack.round());
        } else if (message instanceof ConfirmAck ack) {
            acknowledged(ack.from(), ack.term(), ack.round());
        }
    }

    private void heartbeat(Heartbeat heartbeat) {
        String from = heartbeat.from().id();
        liveness.told(from, heartbeat.location(), heartbeat.leaving(), heartbeat.settledTerm());
        early.heard(from, heartbeat.viewTerm(), now);
        boolean backup = view.backups().contains(from);
        highest = view.isVoter(from) ? Math.max(highest, heartbeat.promised()) : highest;
        if (role == Role.PRIMARY && heartbeat.viewTerm() > view.term()) {
            yieldTo(Math.max(promised, heartbeat.viewTerm())); // a later term has begun while this one was not heard
        }
        if (role == Role.PRIMARY && heartbeat.promised() > view.term() && backup) {
            // It has promised more than this term and holds nothing in it any more: a later one brings it back.
            promised = Math.max(promised, heartbeat.promised());
            stand(null);
            return;
        }
        if (heartbeat.primary()
                && !heartbeat.leaving()
                && heartbeat.viewTerm() >= view.term()
                && role != Role.PRIMARY) {
            leader.heard(from, now);
            next();
        }
        boolean old = heartbeat.viewTerm() < view.term();
        boolean tells = view.isVoter(me.id()) && !(role == Role.PRIMARY && backup);
        if (tells && (old || heartbeat.leaving() && !view.isVoter(from))) {
            // Any member does: whoever was away, or joins, may reach this one alone.
            send(heartbeat.from(), new ViewChange(me, view));
        }
    }

    private void requestVote(RequestVote request) {
        if (!view.isVoter(me.id()) && !replaced) {
            return; // a life that nobody has taken in yet: what stood here before had a vote, this has none
        }
        String refusal = refusal(request);
        if (refusal != null) {
            out.log("grants " + request.from().id() + " no term " + request.term() + ": " + refusal);
            send(request.from(), new VoteRefused(me, promised, view));
            return;
        }
        yieldTo(request.term());
        boolean knowsMore = request.stored().mergedWith(kept) != request.stored();
        StoredVersion newer = kept.compareTo(request.stored()) > 0 ? kept : knowsMore ? kept.withoutBody() : null;
        save(false, () -> {
            if (promised == request.term()) {
                send(request.from(), new Vote(me, request.term(), newer));
            }
        });
    }

    /** Why a candidate does not get this member's vote; null where it does. */
    private String refusal(RequestVote request) {
        String candidate = request.from().id();
        boolean leads = role == Role.PRIMARY
                && !membership.leaving()
                && !candidate.equals(me.id())
                && view.backups().stream().allMatch(id -> liveness.silence(id, now) < SILENT_MICROS);
        boolean led = leader.ledByOther(candidate, now);
        if (!view.isVoter(candidate)) {
            return "no member";
        }
        if (request.viewTerm() < view.term()) {
            return "an old view";
        }
        if (request.term() <= promised) {
            return "promised " + promised;
        }
        return leads || led ? "term " + view.term() + " is led" : null;
    }

    private void vote(Vote vote) {
        if (role == Role.CANDIDATE && vote.term() == promised) {
            granted.add(vote.from().id());
            best = vote.newer() != null ? best.mergedWith(vote.newer()) : best;
            elect(promised);
        }
    }

    /** One refusal is none of the others': the round goes on until its time is over, unless it can't be won. */
    private void voteRefused(VoteRefused refused) {
        boolean lost = refused.promised() > promised || refused.view().term() > view.term();
        if (role == Role.CANDIDATE && lost) {
            role = Role.FOLLOWER;
            standBack();
            adopt(refused.view());
            promised = Math.max(promised, refused.promised());
            save(false, () -> {});
        }
    }

    private void installAck(InstallAck ack) {
        if (role == Role.INSTALLING && ack.term() == view.term()) {
            installed.add(ack.from().id());
            begin();
        }
    }

    private void append(Append append) {
        if (promised != append.term() || view.term() != append.term() || role != Role.FOLLOWER) {
            return;
        }
        StoredVersion merged = kept.mergedWith(append.stored());
        boolean newer = merged != kept;
        kept = merged;
        save(newer, () -> {
            if (promised == append.term()) {
                send(append.from(), new AppendAck(me, append.term(), append.round()));
            }
        });
    }

    private void confirm(Confirm confirm) {
        if (promised == confirm.term() && view.term() == confirm.term()) {
            send(confirm.from(), new ConfirmAck(me, confirm.term(), confirm.round()));
        }
    }

    private void acknowledged(Member from, long term, long ofRound) {
        if (role == Role.PRIMARY && term == view.term() && ofRound == orders.round()) {
            orders.acknowledged(from.id());
            finish();
        }
    }

    /** Promises a later term, which ends whatever this one was about. */
    private void yieldTo(long term) {
        promised = term;
        if (role == Role.PRIMARY) {
            out.log("is primary no more, for term " + term);
        }
        if (role != Role.FOLLOWER) {
            standBack();
        }
        role = Role.FOLLOWER;
        orders.fail();
    }

    private void elect(long term) {
        if (!view.isMajority(granted)) {
            return;
        }
        boolean joint = proposed != view || !view.previousMembers().isEmpty();
        boolean patient = now < roundUntil - ROUND_MICROS + BETTER_MICROS;
        List<String> backups = membership.backups(view, proposed.members(), me, granted, patient, now);
        if (backups == null) {
            return; // nobody to hold it beside this one, or nobody yet who should
        }
        View next = new View(
                term,
                me.id(),
                List.copyOf(backups),
                proposed.members(),
                proposed == view ? view.previousMembers() : proposed.previousMembers());
        role = Role.INSTALLING;
        roundUntil = now + ROUND_MICROS;
        installed.clear();
        view = next;
        StoredVersion begins =
                best.confirmedIn(term); // no stray of a term in between is newer than what this one acknowledges
        boolean newer = begins != kept;
        kept = begins;
        save(newer, () -> {
            if (role == Role.INSTALLING && view == next && promised == term) {
                installed.add(me.id());
                for (Member member : next.voters()) {
                    if (!member.equals(me)) {
                        boolean backup = next.backups().contains(member.id());
                        send(member, backup || joint ? new Install(me, term, next, kept) : new ViewChange(me, next));
                    }
                }
                begin();
            }
        });
    }

    private void install(Install install) {
        if (install.term() < promised || install.term() < view.term()) {
            return;
        }
        if (install.term() > promised || role != Role.FOLLOWER) {
            yieldTo(install.term());
        }
        view = install.view();
        StoredVersion merged = kept.mergedWith(install.stored());
        boolean newer = merged != kept;
        kept = merged;
        leader.heard(install.from().id(), now);
        save(newer, () -> {
            if (promised == install.term()) {
                send(install.from(), new InstallAck(me, install.term()));
            }
        });
    }

    private void viewChange(ViewChange change) {
        adopt(change.view());
        String from = change.from().id();
        if (role == Role.FOLLOWER && view.term() == change.view().term() && from.equals(view.primary())) {
            leader.heard(from, now); // else a witness would stand against a term that has only just begun
        }
    }

    /** A witness, or one that was away, learns who is who. */
    private void adopt(View newer) {
        if (newer != null
                && role != Role.PRIMARY
                && role != Role.INSTALLING
                && (newer.term() > view.term()
                        || newer.term() == view.term()
                                && newer.previousMembers().isEmpty()
                                && !view.previousMembers().isEmpty())) {
            if (role == Role.CANDIDATE) {
                role = Role.FOLLOWER; // it was asked for by an older view, and may propose members of before that
                standBack();
            }
            replaced = (replaced || view.isVoter(me.id())) && !newer.isVoter(me.id());
            view = newer;
            promised = Math.max(promised, newer.term());
            save(false, () -> {});
        }
    }

    /**
     * The term begins once all backups hold what it begins with; where members change, also more than half of the old
     * and of the new ones, so that no majority is left that goes by the old list alone.
     */
    private void begin() {
        Set<String> needed = new HashSet<>(view.backups());
        needed.add(me.id());
        boolean joint = !view.previousMembers().isEmpty();
        if (role != Role.INSTALLING || !installed.containsAll(needed) || joint && !view.isMajority(installed)) {
            return;
        }
        role = Role.PRIMARY;
        orders.restart(kept);
        out.log("is primary of term " + view.term() + " with " + view.backups());
        List<Member> all = view.voters();
        if (joint) {
            view = new View(view.term(), view.primary(), view.backups(), view.members(), List.of());
            save(false, () -> {});
        }
        for (Member member : all) {
            if (!member.equals(me)) {
                send(member, new ViewChange(me, view)); // also to whoever has just lost its place
            }
        }
        pingAt = now;
        out.committed(kept);
        next();
    }

    // ---- calls

    /** Keep this version; answered once. */
    public void put(long time, long call, long version, byte[] body) {
        now = time;
        take(new CallQueue.Call(call, true, version, body, ContentDigest.of(body), now + CALL_MICROS));
    }

    /** The newest version that is acknowledged; answered once. */
    public void get(long time, long call) {
        now = time;
        take(new CallQueue.Call(call, false, 0, null, ContentDigest.NONE, now + CALL_MICROS));
    }

    private void take(CallQueue.Call call) {
        if (role == Role.FOLLOWER && leader.ledByOther(me.id(), now)) {
            out.forward(call.id(), liveness.member(leader.primary()));
            return;
        }
        if (role != Role.PRIMARY && !reachesMost()) {
            out.complete(
                    call.id(),
                    CallOutcome.UNCERTAIN,
                    StoredVersion.NONE); // cut off: whoever asks had better ask elsewhere
            return;
        }
        orders.add(call); // also where nobody leads: an election is a matter of a moment
        next();
    }

    private void next() {
        if (role == Role.FOLLOWER && leader.ledByOther(me.id(), now)) {
            orders.forward(liveness.member(leader.primary()));
            return;
        }
        if (role != Role.PRIMARY || !orders.ready()) {
            return;
        }
        StoredVersion agreed = orders.agreed();
        kept = orders.begin(kept, view.term(), now);
        long mine = orders.round();
        boolean copies = orders.copies();
        if (copies) {
            save(true, () -> {
                if (role == Role.PRIMARY && orders.round() == mine) {
                    orders.onDisk();
                    finish();
                }
            });
        }
        for (Member member : view.members()) {
            if (view.backups().contains(member.id())) {
                send(
                        member,
                        copies
                                ? new Append(me, view.term(), mine, kept.since(agreed))
                                : new Confirm(me, view.term(), mine));
            }
        }
        finish();
    }

    /** A call is done when all that hold what is acknowledged have told so in this term. */
    private void finish() {
        if (orders.finish(view.backups(), kept)) {
            next();
        }
    }

    // ---- disk and links

    private void save(boolean keptToo, Runnable then) {
        long token = saves.begin(view, now, then);
        out.save(new ReplicaState(me, promised, view, kept), keptToo, token);
    }

    /** This and all earlier saves are on disk. */
    public void saved(long time, long which) {
        now = time;
        saves.done(which);
    }

    private void send(Member to, Message message) {
        out.send(to, message);
    }
}
