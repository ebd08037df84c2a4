package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.modelcheck.ConfigurationChecker.Call;
import gorsemast.modelcheck.ConfigurationChecker.Update;
import gorsemast.store.CallOutcome;
import gorsemast.store.Location;
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
import gorsemast.store.Replica;
import gorsemast.store.ReplicaState;
import gorsemast.store.StoredVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine of {@link StoreSimulation}: a replica with its disk, across restarts, and the defects that a {@link StoreDefect} injects
 * between the replica and its environment. Single-threaded.
 */
final class ModelMachine implements Replica.Output {
    private final StoreMembers simulation;
    final String ip;
    final ModelDisk disk;
    private final Map<Member, Append> inHand = new HashMap<>();
    Replica replica;
    boolean frozen;
    private boolean told;
    /** Removed for good. */
    boolean gone;

    /** A machine with an empty disk that does not run. */
    ModelMachine(StoreMembers simulation, String ip) {
        this.simulation = simulation;
        this.ip = ip;
        this.disk = new ModelDisk(simulation.random, simulation.defect);
    }

    /** The process starts with what its disk holds. */
    void start() {
        if (disk.held() == null) {
            disk.begin(new ReplicaState(
                    new Member(
                            ip + "#"
                                    + (simulation.defect == StoreDefect.WIPED_KEEPS_ITS_NAME
                                            ? 0
                                            : ++simulation.incarnations),
                            ip),
                    0,
                    simulation.defect == StoreDefect.WIPED_KEEPS_ITS_NAME
                            ? Replica.initialView(simulation.firstMembers)
                            : Replica.initialView(List.of()),
                    StoredVersion.NONE));
        }
        told = false;
        simulation.links.breakTo(ip); // a link belongs to one incarnation: no message waits for the next
        Location place = simulation.defect == StoreDefect.ZONES_UNKNOWN
                ? Location.UNKNOWN
                : simulation.places.getOrDefault(ip, Location.UNKNOWN);
        replica = simulation.defect == StoreDefect.WAITS_FOR_ANY_DISK
                ? new Replica(
                        disk.held(),
                        simulation.tolerance,
                        place,
                        simulation.random.nextLong(),
                        StoreMembers.LONG_MICROS * StoreMembers.LONG_MICROS,
                        this)
                : new Replica(disk.held(), simulation.tolerance, place, simulation.random.nextLong(), this);
        if (simulation.defect == StoreDefect.WIPED_KEEPS_ITS_NAME
                && disk.held().self().id().endsWith("#0")) {
            simulation.incarnations++;
        }
    }

    /** Advertises the stored version once after a start, as a store does to its registry. */
    void advertiseEarly() {
        if (!told && (replica.mayServeStored() || simulation.defect == StoreDefect.TELLS_WHAT_IT_HOLDS)) {
            told = true;
            simulation.checker.checkAdvertised(ip, replica.stored());
        }
    }

    /** Whether this machine holds another content under the number. */
    boolean refusesAtOnce(Update update) {
        ContentDigest holds = replica.stored().history().digest(update.version());
        return holds != null && !holds.equals(ContentDigest.of(update.body()));
    }

    /** The process ends; if power is lost, pending writes may be lost. */
    void kill(boolean power) {
        disk.end(power);
        replica = null;
        frozen = false;
        inHand.clear();
        simulation.links.breakAll(ip);
    }

    /** Resumes the process after a freeze. */
    void wake() {
        frozen = false;
        if (simulation.defect == StoreDefect.WAKES_AND_ACKNOWLEDGES && replica != null) {
            inHand.forEach((to, append) -> forge(new AppendAck(to, append.term(), append.round())));
            simulation.settle();
        }
    }

    @Override
    public void send(Member to, Message message) {
        if (to.ip().equals(ip)) {
            return;
        }
        if (message instanceof Install install && untold(install, simulation.machines.get(to.ip()))) {
            forge(new InstallAck(to, install.term()));
            return;
        }
        if (message instanceof ViewChange change
                && simulation.defect == StoreDefect.CHANGES_OVERLAP
                && change.view().members().stream().noneMatch(to::equals)) {
            return;
        }
        if (message instanceof RequestVote request && simulation.defect == StoreDefect.OUTSIDER_VOTES && outsider(to)) {
            forge(new Vote(to, request.term(), null));
        }
        Message sent = simulation.defectiveMessages.applyDefects(message, simulation.lastAsked);
        if (simulation.defect == StoreDefect.JOINS_EMPTY && message instanceof Install install && holdsNothing(to)) {
            sent = new Install(install.from(), install.term(), install.view(), StoredVersion.NONE);
        }
        if (sent != null) {
            simulation.links.send(ip, to.ip(), sent);
        }
        if (message instanceof Append append) {
            inHand.put(to, append);
        }
        boolean uncopied =
                simulation.defect == StoreDefect.COPIED_WITHOUT_COPY || simulation.defect == StoreDefect.NO_BACKUP;
        if (message instanceof Append append && uncopied) {
            forge(new AppendAck(to, append.term(), append.round()));
        }
        boolean unconfirmed =
                simulation.defect == StoreDefect.CONFIRMED_BY_NOBODY || simulation.defect == StoreDefect.NO_BACKUP;
        if (message instanceof Confirm confirm && unconfirmed) {
            forge(new ConfirmAck(to, confirm.term(), confirm.round()));
        }
    }

    /** Whether an injected defect suppresses the message to this machine and counts it as acknowledged. */
    private boolean untold(Install install, ModelMachine to) {
        return switch (simulation.defect) {
            case NO_BACKUP -> true;

            case CHANGES_OVERLAP ->
                !install.view().previousMembers().isEmpty()
                        && install.view().backups().stream().noneMatch(id -> id.startsWith(to.ip + "#"));
            default -> false;
        };
    }

    private boolean holdsNothing(Member to) {
        ReplicaState state = simulation.machines.get(to.ip()).disk.held();
        return state != null && state.stored().version() == 0;
    }

    /** Whether a running non-member could answer for this member, which is down. */
    private boolean outsider(Member silent) {
        return simulation.machines.get(silent.ip()).replica == null
                && simulation.machines.values().stream()
                        .anyMatch(one -> one.replica != null
                                && !one.replica
                                        .view()
                                        .isVoter(one.disk.held().self().id()));
    }

    private void forge(Message forged) {
        Replica mine = replica;
        simulation.later.add(() -> {
            if (replica == mine) {
                mine.receive(simulation.now, forged);
            }
        });
    }

    @Override
    public void save(ReplicaState state, boolean withVersion, long token) {
        disk.save(state, withVersion, token, replica);
        if (simulation.defect == StoreDefect.SAVED_TOO_EARLY && replica != null) {
            Replica mine = replica;
            simulation.later.add(() -> {
                if (replica == mine) {
                    mine.saved(simulation.now, token);
                }
            });
        }
    }

    @Override
    public void complete(long call, CallOutcome outcome, StoredVersion kept) {
        Call request = simulation.calls.remove(call);
        if (request != null) {
            boolean hides = simulation.defect == StoreDefect.CONFLICT_SAYS_DONE && outcome == CallOutcome.CONFLICT;
            simulation.checker.checkAnswer(ip, request, hides ? CallOutcome.DONE : outcome, kept);
        }
    }

    @Override
    public void committed(StoredVersion kept) {
        simulation.checker.checkAdvertised(ip, kept);
    }

    @Override
    public void forward(long call, Member primary) {
        Call request = simulation.calls.get(call);
        ModelMachine to = simulation.machines.get(primary.ip());
        if (request != null
                && to != null
                && to.replica != null
                && !to.frozen
                && simulation.hops.merge(call, 1, Integer::sum) < 4
                && !simulation.links.isCut(ip, to.ip)
                && !simulation.links.isCut(to.ip, ip)) {
            simulation.later.add(() -> {
                if (to.replica != null) {
                    simulation.deliverCall(to, call, request);
                }
            });
        } else {
            simulation.calls.remove(call);
        }
    }

    @Override
    public void log(String sentence) {
        if (simulation.eventLog != null) {
            simulation.eventLog.add(simulation.now / 1_000 + " " + ip + " " + sentence);
        }
    }
}
