package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.modelcheck.OrderReferee.Asked;
import gorsemast.modelcheck.OrderReferee.Order;
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
 * A machine of {@link StoreWorld}: a replica with its disk, across restarts, and the defects that a {@link Plant} puts between
 * the replica and its world. One thread.
 */
final class ModelMachine implements Replica.Output {
    private final StoreMembers world;
    final String ip;
    final ModelDisk disk;
    private final Map<Member, Append> inHand = new HashMap<>();
    Replica replica;
    boolean frozen;
    private boolean told;
    /** Removed for good. */
    boolean gone;

    /** A machine with an empty disk that does not run. */
    ModelMachine(StoreMembers world, String ip) {
        this.world = world;
        this.ip = ip;
        this.disk = new ModelDisk(world.random, world.plant);
    }

    /** The process starts with what its disk holds. */
    void start() {
        if (disk.held() == null) {
            disk.begin(new ReplicaState(
                    new Member(ip + "#" + (world.plant == Plant.WIPED_KEEPS_ITS_NAME ? 0 : ++world.lives), ip),
                    0,
                    world.plant == Plant.WIPED_KEEPS_ITS_NAME
                            ? Replica.initialView(world.firstMembers)
                            : Replica.initialView(List.of()),
                    StoredVersion.NONE));
        }
        told = false;
        world.links.breakTo(ip); // a link is of one life: nothing waits for the next
        Location place =
                world.plant == Plant.ZONES_UNKNOWN ? Location.UNKNOWN : world.places.getOrDefault(ip, Location.UNKNOWN);
        replica = world.plant == Plant.WAITS_FOR_ANY_DISK
                ? new Replica(
                        disk.held(),
                        world.tolerance,
                        place,
                        world.random.nextLong(),
                        StoreMembers.LONG_MICROS * StoreMembers.LONG_MICROS,
                        this)
                : new Replica(disk.held(), world.tolerance, place, world.random.nextLong(), this);
        if (world.plant == Plant.WIPED_KEEPS_ITS_NAME && disk.held().self().id().endsWith("#0")) {
            world.lives++;
        }
    }

    /** As a store tells its registry once after its start. */
    void tellEarly() {
        if (!told && (replica.mayServeStored() || world.plant == Plant.TELLS_WHAT_IT_HOLDS)) {
            told = true;
            world.orders.tells(ip, replica.stored());
        }
    }

    /** Whether this machine holds another content under the number. */
    boolean refusesAtOnce(Order order) {
        ContentDigest holds = replica.stored().history().digest(order.version());
        return holds != null && !holds.equals(ContentDigest.of(order.body()));
    }

    /** The process ends; with the power, what its disk had in hand may be lost. */
    void kill(boolean power) {
        disk.end(power);
        replica = null;
        frozen = false;
        inHand.clear();
        world.links.breakAll(ip);
    }

    /** The process runs on after it stood still. */
    void wake() {
        frozen = false;
        if (world.plant == Plant.WAKES_AND_ACKNOWLEDGES && replica != null) {
            inHand.forEach((to, append) -> forge(new AppendAck(to, append.term(), append.round())));
            world.settle();
        }
    }

    @Override
    public void send(Member to, Message message) {
        if (to.ip().equals(ip)) {
            return;
        }
        if (message instanceof Install install && untold(install, world.machines.get(to.ip()))) {
            forge(new InstallAck(to, install.term()));
            return;
        }
        if (message instanceof ViewChange change
                && world.plant == Plant.CHANGES_OVERLAP
                && change.view().members().stream().noneMatch(to::equals)) {
            return;
        }
        if (message instanceof RequestVote request && world.plant == Plant.OUTSIDER_VOTES && outsider(to)) {
            forge(new Vote(to, request.term(), null));
        }
        Message sent = world.spoiled.spoiled(message, world.lastAsked);
        if (world.plant == Plant.JOINS_EMPTY && message instanceof Install install && holdsNothing(to)) {
            sent = new Install(install.from(), install.term(), install.view(), StoredVersion.NONE);
        }
        if (sent != null) {
            world.links.send(ip, to.ip(), sent);
        }
        if (message instanceof Append append) {
            inHand.put(to, append);
        }
        boolean uncopied = world.plant == Plant.COPIED_WITHOUT_COPY || world.plant == Plant.NO_BACKUP;
        if (message instanceof Append append && uncopied) {
            forge(new AppendAck(to, append.term(), append.round()));
        }
        boolean unconfirmed = world.plant == Plant.CONFIRMED_BY_NOBODY || world.plant == Plant.NO_BACKUP;
        if (message instanceof Confirm confirm && unconfirmed) {
            forge(new ConfirmAck(to, confirm.term(), confirm.round()));
        }
    }

    /** Whether a planted defect has it that this one is not told, and counts all the same. */
    private boolean untold(Install install, ModelMachine to) {
        return switch (world.plant) {
            case NO_BACKUP -> true;

            case CHANGES_OVERLAP ->
                !install.view().previousMembers().isEmpty()
                        && install.view().backups().stream().noneMatch(id -> id.startsWith(to.ip + "#"));
            default -> false;
        };
    }

    private boolean holdsNothing(Member to) {
        ReplicaState state = world.machines.get(to.ip()).disk.held();
        return state != null && state.stored().version() == 0;
    }

    /** Whether a machine that runs and is no member could speak for this one, which is down. */
    private boolean outsider(Member silent) {
        return world.machines.get(silent.ip()).replica == null
                && world.machines.values().stream()
                        .anyMatch(one -> one.replica != null
                                && !one.replica
                                        .view()
                                        .isVoter(one.disk.held().self().id()));
    }

    private void forge(Message forged) {
        Replica mine = replica;
        world.later.add(() -> {
            if (replica == mine) {
                mine.receive(world.now, forged);
            }
        });
    }

    @Override
    public void save(ReplicaState state, boolean keptToo, long token) {
        disk.save(state, keptToo, token, replica);
        if (world.plant == Plant.SAVED_TOO_EARLY && replica != null) {
            Replica mine = replica;
            world.later.add(() -> {
                if (replica == mine) {
                    mine.saved(world.now, token);
                }
            });
        }
    }

    @Override
    public void complete(long call, CallOutcome outcome, StoredVersion kept) {
        Asked asked = world.calls.remove(call);
        if (asked != null) {
            boolean hides = world.plant == Plant.CONFLICT_SAYS_DONE && outcome == CallOutcome.CONFLICT;
            world.orders.answers(ip, asked, hides ? CallOutcome.DONE : outcome, kept);
        }
    }

    @Override
    public void committed(StoredVersion kept) {
        world.orders.tells(ip, kept);
    }

    @Override
    public void forward(long call, Member primary) {
        Asked asked = world.calls.get(call);
        ModelMachine to = world.machines.get(primary.ip());
        if (asked != null
                && to != null
                && to.replica != null
                && !to.frozen
                && world.hops.merge(call, 1, Integer::sum) < 4
                && !world.links.isCut(ip, to.ip)
                && !world.links.isCut(to.ip, ip)) {
            world.later.add(() -> {
                if (to.replica != null) {
                    world.enter(to, call, asked);
                }
            });
        } else {
            world.calls.remove(call);
        }
    }

    @Override
    public void log(String sentence) {
        if (world.story != null) {
            world.story.add(world.now / 1_000 + " " + ip + " " + sentence);
        }
    }
}
