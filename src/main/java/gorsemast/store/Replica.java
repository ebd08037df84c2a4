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
 * The consensus logic of one member of the store.
 *
 * <p>One primary writes to its backups before it answers; the other members are witnesses that keep terms only. A new
 * term is granted by a majority of the members, each of which has its promise on disk before it votes. A voter reports
 * the version that it stores, and the elected member installs the newest of these at its backups before it acknowledges
 * anything. There are as many backups as losses to tolerate, so of {@code 2f + 1} members every majority contains the
 * primary or a backup. This is the view change of Viewstamped Replication (Oki and Liskov 1988, Liskov and Cowling
 * 2012) over a single register whose highest version wins, with witnesses as in Harp (Liskov et al. 1991); there is no
 * log. Members are exchanged one at a time through a view that needs a majority of both lists (joint consensus, Ongaro
 * and Ousterhout 2014).
 *
 * <p>Two primaries never acknowledge at the same time. A primary answers only after all its backups have confirmed, in
 * its term, that they store the version. The winner of a later term has the promises of a majority, which includes the
 * old primary or one of its backups, and that member takes no further part in the older term. Every acknowledged
 * version is stored by the primary and all backups, so that voter reports it, or a newer one.
 *
 * <p>Not thread-safe: one caller. Times are in microseconds of a monotonic clock. Nothing here does I/O: {@link Output}
 * sends, saves and answers, and its owner calls {@link #saved} when a save is on disk, in order.
 */
public final class Replica {
    static final long HEARTBEAT_INTERVAL_MICROS = 150_000;
    /** A primary that was silent for this long is replaced: four missed heartbeats. */
    static final long HEARTBEAT_TIMEOUT_MICROS = Liveness.HEARTBEAT_TIMEOUT_MICROS;
    /** Limit for one election or installation; a disk sync of 5 ms and two message delays make 15 ms. */
    static final long ELECTION_TIMEOUT_MICROS = 400_000;
    /** Upper bound of the random delay before a candidacy, which makes split votes rare. */
    static final long MAX_CANDIDACY_DELAY_MICROS = 250_000;
    /** For this long after its start a member may serve its stored version before there is a primary. */
    static final long STARTUP_PERIOD_MICROS = 1_000_000;
    /**
     * A member whose disk has not finished a save for this long neither leads nor stands for election, and a backup
     * that has not answered for this long is replaced. Many times what a healthy disk takes, and short enough that an
     * update is still acknowledged in time after this timeout, {@link #HEARTBEAT_TIMEOUT_MICROS} and an election.
     */
    static final long STALL_TIMEOUT_MICROS = 750_000;
    /** For this long a candidate with a majority waits for votes that would give it better placed backups. */
    static final long BETTER_BACKUPS_WAIT_MICROS = ELECTION_TIMEOUT_MICROS / 2;
    /** A call that is not done within this time is given up; the caller retries at another store. */
    static final long CALL_TIMEOUT_MICROS = 2_500_000;

    /** The effects that a replica asks its owner to carry out. */
    public interface Output {
        /** Sends a message, which may be lost. */
        void send(Member to, Message message);

        /**
         * Saves the state durably, then calls {@link Replica#saved} with the token, in the order of saves.
         *
         * @param storedChanged whether the stored version may differ from the last one saved
         */
        void save(ReplicaState state, boolean storedChanged, long token);

        /**
         * Completes a call.
         *
         * @param stored the acknowledged version, or {@link StoredVersion#NONE} where the outcome is uncertain
         */
        void complete(long call, CallOutcome outcome, StoredVersion stored);

        /** Reports a version that this primary has acknowledged. */
        void committed(StoredVersion stored);

        /** Forwards a call to the primary, as only the primary can serve it. */
        void forward(long call, Member primary);

        /** Logs a message for the operator. */
        void log(String message);
    }

    private enum Role {
        FOLLOWER,
        CANDIDATE,
        INSTALLING,
        PRIMARY
    }

    private final Output output;
    private final SplittableRandom random;
    private final long stallMicros;
    private final PendingSaves pendingSaves;
    private final Membership membership;
    private final Liveness liveness;
    private Member self;
    private long promised;
    /** The highest term that any member reported to have promised; a hint for the next term to request. */
    private long highestPromised;
    /**
     * Whether this process was a member and has been replaced since it started: a joint view may still need its vote.
     */
    private boolean replaced;

    private View view;
    private StoredVersion stored;
    private Role role = Role.FOLLOWER;
    private long now;
    private long roundDeadline;
    private long candidacyNotBefore;
    private long nextHeartbeatAt;
    private View proposedView;
    private StoredVersion newestVoted;
    private final Set<String> votes = new HashSet<>();
    private final Set<String> installedAt = new HashSet<>();

    private final LeaderHint leader = new LeaderHint();
    private final StartupReads startupReads = new StartupReads();
    private final CallQueue calls;

    /**
     * Creates a member from the state on its disk.
     *
     * @param losses how many disks may be lost at the same time, which is also the number of backups
     */
    public Replica(ReplicaState saved, int losses, long seed, Output output) {
        this(saved, FaultTolerance.ofMachines(losses), Location.UNKNOWN, seed, output);
    }

    /**
     * Creates a member from the state on its disk.
     *
     * @param tolerance the losses to tolerate at the same time
     * @param location where its machine is
     */
    public Replica(ReplicaState saved, FaultTolerance tolerance, Location location, long seed, Output output) {
        this(saved, tolerance, location, seed, STALL_TIMEOUT_MICROS, output);
    }

    /** Creates a member with its own limit, in microseconds, in place of {@link #STALL_TIMEOUT_MICROS}. */
    public Replica(
            ReplicaState saved,
            FaultTolerance tolerance,
            Location location,
            long seed,
            long stallMicros,
            Output output) {
        this.stallMicros = stallMicros;
        this.self = saved.self();
        this.promised = saved.promised();
        this.view = saved.view();
        this.pendingSaves = new PendingSaves(
                stallMicros,
                view,
                () -> nextHeartbeatAt = Math.min(nextHeartbeatAt, now)); // a replaced member may wait for it
        this.stored = saved.stored();
        this.membership = new Membership(tolerance, location);
        this.liveness = membership.liveness;
        this.random = new SplittableRandom(seed);
        this.output = output;
        this.calls = new CallQueue(output);
    }

    /** Returns the view before any election. */
    public static View initialView(List<Member> members) {
        return new View(0, "", List.of(), List.copyOf(members), List.of());
    }

    /** Returns whether this member acknowledges calls now. */
    public boolean isPrimary() {
        return role == Role.PRIMARY;
    }

    /** Returns the latest view that this member knows of. */
    public View view() {
        return view;
    }

    /**
     * Returns the members to keep links to: those of the view first, then others that were heard, one for each address.
     */
    public List<Member> knownMembers() {
        Map<String, Member> all = new LinkedHashMap<>();
        view.voters().forEach(member -> all.putIfAbsent(member.ip(), member));
        liveness.nonMembers(view).forEach(member -> all.putIfAbsent(member.ip(), member));
        return new ArrayList<>(all.values());
    }

    /** Returns the version that this member stores. */
    public StoredVersion stored() {
        return stored;
    }

    /**
     * Returns whether the stored version may be served to edges without a round. That holds for a primary that has
     * acknowledged it, and for a member that has just started, stores what the primary of its view confirmed, and since
     * its start has heard from a majority that knows of no later view. A later term begins only once a majority has its
     * view, so a version that a later term has rejected is never served. A start that takes longer than {@link
     * #STARTUP_PERIOD_MICROS} waits for an election or a primary.
     */
    public boolean mayServeStored() {
        if (role == Role.PRIMARY) {
            return stored == calls.replicated();
        }
        boolean holds = stored.term() == view.term(); // primary or backup, not a witness that only knows the view
        return holds && startupReads.areAllowed(view, self.id(), now);
    }

    // ---- events

    /** Runs the periodic work; call it every few tens of milliseconds. */
    public void tick(long time) {
        now = time;
        if (startupReads.start(now)) {
            delayCandidacy();
        }
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
            liveness.forget(view, now);
            String shortfall = role == Role.PRIMARY && view.previousMembers().isEmpty()
                    ? membership.newShortfall(view, self, now)
                    : null;
            if (shortfall != null) {
                output.log(shortfall);
            }
            for (Member other : knownMembers()) {
                send(other, heartbeat());
            }
        }
        calls.expireWaiting(now);
        if (calls.expireCurrent(now)) {
            serveNext();
        }
        if (!view.isVoter(self.id())) {
            return;
        }
        switch (role) {
            case FOLLOWER -> {
                boolean mayStand = !pendingSaves.isStalled(now) && !membership.canHandOver(view, self, now);
                if (leader.timedOut(now) && mayStand && now >= candidacyNotBefore && reachesMajority()) {
                    startElection(null);
                }
            }
            case CANDIDATE, INSTALLING -> {
                if (now > roundDeadline) {
                    role = Role.FOLLOWER;
                    delayCandidacy();
                } else if (role == Role.CANDIDATE) {
                    tryWinElection(promised);
                }
            }
            case PRIMARY -> superviseMembers();
        }
    }

    /** Returns this member's heartbeat, also for a peer that has just connected. */
    public Message heartbeat() {
        return new Heartbeat(
                self,
                promised,
                view.term(),
                pendingSaves.settledTerm(),
                role == Role.PRIMARY,
                membership.leaving(),
                membership.location());
    }

    /** Lets a primary change the membership: one change at a time, each after the last one is complete. */
    private void superviseMembers() {
        if (pendingSaves.isStalled(now)) {
            output.log("steps down as primary: its disk does not finish a save");
            role = Role.FOLLOWER;
            delayCandidacy();
            calls.failCurrent();
            return;
        }
        if (!reachesMajority()) {
            return;
        }
        Membership.Action action = membership.nextAction(view, self, now);
        if (action == null
                && calls.isStalled(view.backups(), stallMicros, now)
                && !membership.canHandOver(view, self, now)
                && view.previousMembers().isEmpty()) {
            action = new Membership.Action(null, "has a backup of term " + view.term() + " that does not respond");
        }
        if (action != null) {
            output.log(action.reason());
            startElection(action.members());
        }
    }

    // ---- leaving

    /** Starts leaving, as the process was asked to end; it keeps serving until {@link #mayStop}. */
    public void leave(long time) {
        now = time;
        membership.startLeaving(now);
        output.log("leaves as " + role + " of term " + view.term());
        for (Member other : knownMembers()) {
            send(other, new Leave(self));
        }
    }

    /**
     * Returns whether the process may end: it is no longer a member; or there is no spare to replace it, and it either
     * holds no copy that is relied on or has waited {@link Membership#HANDOVER_TIMEOUT_MICROS} for another member to
     * take over.
     */
    public boolean mayStop(long time) {
        now = time;
        boolean holdsCopy = role != Role.FOLLOWER
                || self.id().equals(view.primary())
                || view.backups().contains(self.id());
        return membership.mayStop(view, self, holdsCopy, now);
    }

    /**
     * Handles the leaving of another member: if it was the primary, its first backup stands for election at once and
     * the others a moment later.
     */
    private void onLeave(Leave leave) {
        String from = leave.from().id();
        membership.markLeaving(from);
        if (!view.isVoter(from)) {
            send(leave.from(), new ViewChange(self, view));
        } else if (from.equals(leader.primary())) {
            leader.expire();
            boolean first = !view.backups().isEmpty() && view.backups().get(0).equals(self.id());
            candidacyNotBefore =
                    now + (first ? 0 : MAX_CANDIDACY_DELAY_MICROS / 5 + random.nextLong(MAX_CANDIDACY_DELAY_MICROS));
        }
    }

    private boolean reachesMajority() {
        Set<String> alive = liveness.aliveIds(now);
        alive.add(self.id());
        return view.isMajority(alive);
    }

    private void delayCandidacy() {
        boolean first = self.id().equals(view.primary())
                || view.term() == 0
                        && !view.members().isEmpty()
                        && view.members().get(0).equals(self);
        candidacyNotBefore =
                now + (first ? 0 : MAX_CANDIDACY_DELAY_MICROS / 5) + random.nextLong(MAX_CANDIDACY_DELAY_MICROS);
    }

    /**
     * Requests votes for the next term.
     *
     * @param members the proposed members; null to keep the current ones
     */
    private void startElection(List<Member> members) {
        role = Role.CANDIDATE;
        roundDeadline = now + ELECTION_TIMEOUT_MICROS;
        promised = Math.max(promised, highestPromised) + 1;
        long term = promised;
        output.log("stands for election in term " + term);
        votes.clear();
        newestVoted = stored;
        proposedView = members == null
                ? view
                : new View(view.term(), view.primary(), view.backups(), List.copyOf(members), view.members());
        save(false, () -> {
            if (role == Role.CANDIDATE && promised == term) {
                votes.add(self.id());
                for (Member member : view.voters()) {
                    if (!member.equals(self)) {
                        send(member, new RequestVote(self, term, view.term(), stored.withoutBody()));
                    }
                }
                tryWinElection(term);
            }
        });
    }

    /** Handles a message from another member, or from a machine that asks to become one. */
    public void receive(long time, Message message) {
        now = time;
        liveness.recordHeard(message.from(), now);
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(heartbeat);
        } else if (message instanceof Leave leave) {
            onLeave(leave);
        } else if (message instanceof RequestVote request) {
            onRequestVote(request);
        } else if (message instanceof Vote vote) {
            onVote(vote);
        } else if (message instanceof VoteRefused refused) {
            onVoteRefused(refused);
        } else if (message instanceof Install install) {
            onInstall(install);
        } else if (message instanceof InstallAck ack) {
            onInstallAck(ack);
        } else if (message instanceof ViewChange change) {
            onViewChange(change);
        } else if (message instanceof Append append) {
            onAppend(append);
        } else if (message instanceof Confirm confirm) {
            onConfirm(confirm);
        } else if (message instanceof AppendAck ack) {
            onAcknowledged(ack.from(), ack.term(), ack.round());
        } else if (message instanceof ConfirmAck ack) {
            onAcknowledged(ack.from(), ack.term(), ack.round());
        }
    }

    private void onHeartbeat(Heartbeat heartbeat) {
        String from = heartbeat.from().id();
        liveness.recordReport(from, heartbeat.location(), heartbeat.leaving(), heartbeat.settledTerm());
        startupReads.recordViewTerm(from, heartbeat.viewTerm(), now);
        boolean backup = view.backups().contains(from);
        highestPromised = view.isVoter(from) ? Math.max(highestPromised, heartbeat.promised()) : highestPromised;
        if (role == Role.PRIMARY && heartbeat.viewTerm() > view.term()) {
            promiseTerm(Math.max(promised, heartbeat.viewTerm())); // a later term began while this member was cut off
        }
        if (role == Role.PRIMARY && heartbeat.promised() > view.term() && backup) {
            // It has promised a later term and stores nothing in this one any more: an election brings it back.
            promised = Math.max(promised, heartbeat.promised());
            startElection(null);
            return;
        }
        if (heartbeat.primary()
                && !heartbeat.leaving()
                && heartbeat.viewTerm() >= view.term()
                && role != Role.PRIMARY) {
            leader.recordHeard(from, now);
            serveNext();
        }
        boolean outdated = heartbeat.viewTerm() < view.term();
        boolean informs = view.isVoter(self.id()) && !(role == Role.PRIMARY && backup);
        if (informs && (outdated || heartbeat.leaving() && !view.isVoter(from))) {
            // Every member does this: one that was away or joins may reach only this one.
            send(heartbeat.from(), new ViewChange(self, view));
        }
    }

    private void onRequestVote(RequestVote request) {
        if (!view.isVoter(self.id()) && !replaced) {
            return; // not admitted yet: the vote belongs to the earlier disk at this address
        }
        String refusal = refusal(request);
        if (refusal != null) {
            output.log("refuses " + request.from().id() + " term " + request.term() + ": " + refusal);
            send(request.from(), new VoteRefused(self, promised, view));
            return;
        }
        promiseTerm(request.term());
        boolean addsHistory = request.stored().mergedWith(stored) != request.stored();
        StoredVersion newer =
                stored.compareTo(request.stored()) > 0 ? stored : addsHistory ? stored.withoutBody() : null;
        save(false, () -> {
            if (promised == request.term()) {
                send(request.from(), new Vote(self, request.term(), newer));
            }
        });
    }

    /** Returns why a candidate does not get this member's vote; null where it does. */
    private String refusal(RequestVote request) {
        String candidate = request.from().id();
        boolean leads = role == Role.PRIMARY
                && !membership.leaving()
                && !candidate.equals(self.id())
                && view.backups().stream().allMatch(id -> liveness.silenceMicros(id, now) < HEARTBEAT_TIMEOUT_MICROS);
        boolean ledByOther = leader.ledByOther(candidate, now);
        if (!view.isVoter(candidate)) {
            return "not a member";
        }
        if (request.viewTerm() < view.term()) {
            return "outdated view";
        }
        if (request.term() <= promised) {
            return "already promised term " + promised;
        }
        return leads || ledByOther ? "term " + view.term() + " has a primary" : null;
    }

    private void onVote(Vote vote) {
        if (role == Role.CANDIDATE && vote.term() == promised) {
            votes.add(vote.from().id());
            newestVoted = vote.newer() != null ? newestVoted.mergedWith(vote.newer()) : newestVoted;
            tryWinElection(promised);
        }
    }

    /** Handles a refused vote: the round goes on until its deadline, unless it can't be won any more. */
    private void onVoteRefused(VoteRefused refused) {
        boolean lost = refused.promised() > promised || refused.view().term() > view.term();
        if (role == Role.CANDIDATE && lost) {
            role = Role.FOLLOWER;
            delayCandidacy();
            adoptView(refused.view());
            promised = Math.max(promised, refused.promised());
            save(false, () -> {});
        }
    }

    private void onInstallAck(InstallAck ack) {
        if (role == Role.INSTALLING && ack.term() == view.term()) {
            installedAt.add(ack.from().id());
            tryBeginTerm();
        }
    }

    private void onAppend(Append append) {
        if (promised != append.term() || view.term() != append.term() || role != Role.FOLLOWER) {
            return;
        }
        StoredVersion merged = stored.mergedWith(append.stored());
        boolean newer = merged != stored;
        stored = merged;
        save(newer, () -> {
            if (promised == append.term()) {
                send(append.from(), new AppendAck(self, append.term(), append.round()));
            }
        });
    }

    private void onConfirm(Confirm confirm) {
        if (promised == confirm.term() && view.term() == confirm.term()) {
            send(confirm.from(), new ConfirmAck(self, confirm.term(), confirm.round()));
        }
    }

    private void onAcknowledged(Member from, long term, long round) {
        if (role == Role.PRIMARY && term == view.term() && round == calls.round()) {
            calls.recordAcknowledgement(from.id());
            tryFinishCall();
        }
    }

    /** Promises a later term, which ends this member's role in the current one. */
    private void promiseTerm(long term) {
        promised = term;
        if (role == Role.PRIMARY) {
            output.log("steps down as primary for term " + term);
        }
        if (role != Role.FOLLOWER) {
            delayCandidacy();
        }
        role = Role.FOLLOWER;
        calls.failCurrent();
    }

    private void tryWinElection(long term) {
        if (!view.isMajority(votes)) {
            return;
        }
        boolean joint = proposedView != view || !view.previousMembers().isEmpty();
        boolean mayWait = now < roundDeadline - ELECTION_TIMEOUT_MICROS + BETTER_BACKUPS_WAIT_MICROS;
        List<String> backups = membership.chooseBackups(view, proposedView.members(), self, votes, mayWait, now);
        if (backups == null) {
            return; // too few backups, or none of the better ones yet
        }
        View next = new View(
                term,
                self.id(),
                List.copyOf(backups),
                proposedView.members(),
                proposedView == view ? view.previousMembers() : proposedView.previousMembers());
        role = Role.INSTALLING;
        roundDeadline = now + ELECTION_TIMEOUT_MICROS;
        installedAt.clear();
        view = next;
        StoredVersion initial =
                newestVoted.confirmedIn(term); // a version left over from a term in between must not count as newer
        boolean newer = initial != stored;
        stored = initial;
        save(newer, () -> {
            if (role == Role.INSTALLING && view == next && promised == term) {
                installedAt.add(self.id());
                for (Member member : next.voters()) {
                    if (!member.equals(self)) {
                        boolean backup = next.backups().contains(member.id());
                        send(
                                member,
                                backup || joint ? new Install(self, term, next, stored) : new ViewChange(self, next));
                    }
                }
                tryBeginTerm();
            }
        });
    }

    private void onInstall(Install install) {
        if (install.term() < promised || install.term() < view.term()) {
            return;
        }
        if (install.term() > promised || role != Role.FOLLOWER) {
            promiseTerm(install.term());
        }
        view = install.view();
        StoredVersion merged = stored.mergedWith(install.stored());
        boolean newer = merged != stored;
        stored = merged;
        leader.recordHeard(install.from().id(), now);
        save(newer, () -> {
            if (promised == install.term()) {
                send(install.from(), new InstallAck(self, install.term()));
            }
        });
    }

    private void onViewChange(ViewChange change) {
        adoptView(change.view());
        String from = change.from().id();
        if (role == Role.FOLLOWER && view.term() == change.view().term() && from.equals(view.primary())) {
            leader.recordHeard(from, now); // otherwise a witness would stand against a term that has just begun
        }
    }

    /** Adopts a later view, as a witness or a member that was away does. */
    private void adoptView(View newer) {
        if (newer != null
                && role != Role.PRIMARY
                && role != Role.INSTALLING
                && (newer.term() > view.term()
                        || newer.term() == view.term()
                                && newer.previousMembers().isEmpty()
                                && !view.previousMembers().isEmpty())) {
            if (role == Role.CANDIDATE) {
                role = Role.FOLLOWER; // its candidacy is based on an older view and may propose outdated members
                delayCandidacy();
            }
            replaced = (replaced || view.isVoter(self.id())) && !newer.isVoter(self.id());
            view = newer;
            promised = Math.max(promised, newer.term());
            save(false, () -> {});
        }
    }

    /**
     * Begins the term once all backups have installed the initial version. Where the members change, a majority of the
     * old and of the new members must have it too, so that no majority is left that follows the old list alone.
     */
    private void tryBeginTerm() {
        Set<String> needed = new HashSet<>(view.backups());
        needed.add(self.id());
        boolean joint = !view.previousMembers().isEmpty();
        if (role != Role.INSTALLING || !installedAt.containsAll(needed) || joint && !view.isMajority(installedAt)) {
            return;
        }
        role = Role.PRIMARY;
        calls.beginTerm(stored);
        output.log("is primary of term " + view.term() + " with " + view.backups());
        List<Member> recipients = view.voters();
        if (joint) {
            view = new View(view.term(), view.primary(), view.backups(), view.members(), List.of());
            save(false, () -> {});
        }
        for (Member member : recipients) {
            if (!member.equals(self)) {
                send(member, new ViewChange(self, view)); // also to a member that was just replaced
            }
        }
        nextHeartbeatAt = now;
        output.committed(stored);
        serveNext();
    }

    // ---- calls

    /** Stores a version; completed exactly once through {@link Output#complete} or {@link Output#forward}. */
    public void put(long time, long call, long version, byte[] body) {
        now = time;
        accept(new CallQueue.Call(call, true, version, body, ContentDigest.of(body), now + CALL_TIMEOUT_MICROS));
    }

    /** Reads the newest acknowledged version; completed exactly once, as {@link #put}. */
    public void get(long time, long call) {
        now = time;
        accept(new CallQueue.Call(call, false, 0, null, ContentDigest.NONE, now + CALL_TIMEOUT_MICROS));
    }

    private void accept(CallQueue.Call call) {
        if (role == Role.FOLLOWER && leader.ledByOther(self.id(), now)) {
            output.forward(call.id(), liveness.member(leader.primary()));
            return;
        }
        if (role != Role.PRIMARY && !reachesMajority()) {
            output.complete(
                    call.id(),
                    CallOutcome.UNCERTAIN,
                    StoredVersion.NONE); // cut off: the caller should retry at another store
            return;
        }
        calls.enqueue(call); // also without a primary: an election is short
        serveNext();
    }

    private void serveNext() {
        if (role == Role.FOLLOWER && leader.ledByOther(self.id(), now)) {
            calls.forward(liveness.member(leader.primary()));
            return;
        }
        if (role != Role.PRIMARY || !calls.hasNext()) {
            return;
        }
        StoredVersion replicated = calls.replicated();
        stored = calls.beginRound(stored, view.term(), now);
        long round = calls.round();
        boolean replicates = calls.replicates();
        if (replicates) {
            save(true, () -> {
                if (role == Role.PRIMARY && calls.round() == round) {
                    calls.markOnDisk();
                    tryFinishCall();
                }
            });
        }
        for (Member member : view.members()) {
            if (view.backups().contains(member.id())) {
                send(
                        member,
                        replicates
                                ? new Append(self, view.term(), round, stored.changesSince(replicated))
                                : new Confirm(self, view.term(), round));
            }
        }
        tryFinishCall();
    }

    /** Completes the current call once the primary and all backups have confirmed it in this term. */
    private void tryFinishCall() {
        if (calls.tryFinish(view.backups(), stored)) {
            serveNext();
        }
    }

    // ---- output

    private void save(boolean storedChanged, Runnable then) {
        long token = pendingSaves.add(view, now, then);
        output.save(new ReplicaState(self, promised, view, stored), storedChanged, token);
    }

    /** Reports that this and all earlier saves are on disk. */
    public void saved(long time, long token) {
        now = time;
        pendingSaves.complete(token);
    }

    private void send(Member to, Message message) {
        output.send(to, message);
    }
}
