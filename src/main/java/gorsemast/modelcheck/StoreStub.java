package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.peer.PeerMessage;
import gorsemast.store.CallOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Stub of the configuration store in {@link RegistrySimulation}: certain of its newest version if a majority of the view is
 * reachable. Single-threaded.
 */
final class StoreStub {
    private static final int MAJORITY = 2;

    private final RegistryDefect defect;
    private final Map<String, RegistryMachine> machines;
    private List<String> view;
    private long term = 1;
    private long version;

    /** Creates a store with this first view. */
    StoreStub(RegistryDefect defect, Map<String, RegistryMachine> machines, List<String> view) {
        this.defect = defect;
        this.machines = machines;
        this.view = view;
    }

    /** The machines that are members. */
    List<String> view() {
        return view;
    }

    /** The number of reachable members of the view. */
    long reached() {
        return view.stream()
                .map(machines::get)
                .filter(RegistryMachine::isReachable)
                .count();
    }

    private boolean majority(RegistryMachine with) {
        long reached = reached();
        return with.isReachable() && reached >= MAJORITY;
    }

    /** Acknowledges a version if a majority of the view is reachable; returns its number or 0. */
    long acknowledge() {
        return reached() >= MAJORITY ? ++version : 0;
    }

    /** Replaces a member if a majority of the view is reachable; returns whether it did. */
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

    /** Answers a registry's read if its process still runs. */
    void answerRead(RegistryMachine machine, int incarnation, long call, long known) {
        if (machine.node == null || machine.incarnation != incarnation) {
            return;
        }
        boolean done = majority(machine);
        long newest = version;
        machine.run(incarnation, () -> {
            byte[] body = newest == known || newest == 0 ? null : new byte[] {1};
            machine.node.received(machine.store(), answer(call, done, done ? newest : 0, done ? body : null));
        });
    }

    /** The answer to a call. */
    static PeerMessage.StoreAnswer answer(long call, boolean done, long newest, byte[] body) {
        CallOutcome outcome = done ? CallOutcome.DONE : CallOutcome.UNCERTAIN;
        return new PeerMessage.StoreAnswer(call, outcome, newest, 1, ContentDigest.of(new byte[] {1}), body);
    }

    /** Sends a registry the member list. */
    void sendMembers(RegistryMachine machine) {
        List<String> members = view;
        if (defect == RegistryDefect.MEMBERS_BELIEVED_UP) {
            List<String> up = new ArrayList<>(List.of(machine.ip));
            machine.peerLinks.values().stream().filter(RegistryLink::isUp).forEach(link -> up.add(link.to().ip));
            members = up;
        } else if (!majority(machine) && machine.node.membership().term() > 0) {
            return; // its store receives no newer view
        }
        machine.node.received(machine.store(), new PeerMessage.Members(term, members, List.of()));
    }
}
