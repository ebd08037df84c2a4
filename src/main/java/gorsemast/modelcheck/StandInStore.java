package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.peer.PeerMessage;
import gorsemast.store.CallOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Stands in for the store of configuration in {@link RegistryWorld}: certain of its newest version where a majority of
 * the view is reached. One thread.
 */
final class StandInStore {
    private static final int MAJORITY = 2;

    private final RegistryPlant plant;
    private final Map<String, RegistryMachine> machines;
    private List<String> view;
    private long term = 1;
    private long version;

    /** With this first view. */
    StandInStore(RegistryPlant plant, Map<String, RegistryMachine> machines, List<String> view) {
        this.plant = plant;
        this.machines = machines;
        this.view = view;
    }

    /** The machines that are members. */
    List<String> view() {
        return view;
    }

    /** How many members of the view are reached. */
    long reached() {
        return view.stream().map(machines::get).filter(RegistryMachine::reached).count();
    }

    private boolean majority(RegistryMachine with) {
        long reached = reached();
        return with.reached() && reached >= MAJORITY;
    }

    /** Acknowledges a version where a majority of the view is reached; its number, 0 for none. */
    long acknowledge() {
        return reached() >= MAJORITY ? ++version : 0;
    }

    /** Another machine takes a member's place, where a majority of the view is reached; whether it did. */
    boolean replace(String gone, String spare) {
        if (reached() < MAJORITY) {
            return false;
        }
        List<String> next = new ArrayList<>(view);
        next.set(next.indexOf(gone), spare);
        view = List.copyOf(next);
        term++;
        return true;
    }

    /** Answers a registry's read, where its process still runs. */
    void answers(RegistryMachine machine, int life, long call, long known) {
        if (machine.node == null || machine.life != life) {
            return;
        }
        boolean done = majority(machine);
        long newest = version;
        machine.run(life, () -> {
            byte[] body = newest == known || newest == 0 ? null : new byte[] {1};
            machine.node.received(machine.store(), answer(call, done, done ? newest : 0, done ? body : null));
        });
    }

    /** The answer to a call. */
    static PeerMessage.StoreAnswer answer(long call, boolean done, long newest, byte[] body) {
        CallOutcome outcome = done ? CallOutcome.DONE : CallOutcome.UNCERTAIN;
        return new PeerMessage.StoreAnswer(call, outcome, newest, 1, ContentDigest.of(new byte[] {1}), body);
    }

    /** Tells a registry who the members are. */
    void tells(RegistryMachine machine) {
        List<String> members = view;
        if (plant == RegistryPlant.MEMBERS_BELIEVED_UP) {
            List<String> up = new ArrayList<>(List.of(machine.ip));
            machine.ways.values().stream().filter(Way::isUp).forEach(way -> up.add(way.to().ip));
            members = up;
        } else if (!majority(machine) && machine.node.membership().term() > 0) {
            return; // its store hears of no newer view
        }
        machine.node.received(machine.store(), new PeerMessage.Members(term, members, List.of()));
    }
}
