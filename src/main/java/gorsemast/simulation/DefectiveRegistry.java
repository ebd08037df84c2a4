package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import gorsemast.gossip.Entry;
import gorsemast.peer.PeerMessage;
import gorsemast.registry.Command;
import gorsemast.registry.RegistryNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Injected defects of a registry: wrong answers, and wrong contents in its updates. */
final class DefectiveRegistry {
    private static final int UNANSWERED = 4;

    private DefectiveRegistry() {}

    /** Whether a defect has answered the call or suppresses its answer. */
    static boolean answers(
            InjectedDefect defect, RegistryNode registryNode, Command command, RegistryNode.Reply reply) {
        Entry held = registryNode.state().get(Entry.Kind.CONFIGURATION, "");
        if (command instanceof Command.Read && defect == InjectedDefect.READS_ALONE && held != null) {
            reply.answer(200, null, held.body());
            return true;
        }
        if (!(command instanceof Command.Replace replace)) {
            return false;
        }
        long number = replace.configuration().version();
        boolean known = held != null && number <= held.stamp();
        if (known && defect == InjectedDefect.ACKS_ANY_CONTENT) {
            reply.answer(200, null, null);
            return true;
        }
        if (known && defect == InjectedDefect.REFUSES_AGAIN) {
            reply.answer(409, "taken", null);
            return true;
        }
        return defect == InjectedDefect.ANSWERS_NOTHING && number % UNANSWERED == 0;
    }

    /** Configurations sent to this registry, by version number. */
    static final class LocalConfigurations {
        private final Map<Long, Configuration> ordered = new HashMap<>();

        void ordered(Command command) {
            if (command instanceof Command.Replace replace) {
                ordered.put(replace.configuration().version(), replace.configuration());
            }
        }

        /** Replaces the contents of an update by those that were sent to this registry. */
        PeerMessage withLocalContents(PeerMessage record) {
            if (!(record instanceof PeerMessage.Updates updates)) {
                return record;
            }
            List<Entry> items = new ArrayList<>();
            for (Entry item : updates.entries()) {
                Configuration own = item.kind() == Entry.Kind.CONFIGURATION ? ordered.get(item.stamp()) : null;
                items.add(
                        own == null
                                ? item
                                : new Entry(item.kind(), item.key(), item.stamp(), own.body(), item.createdAt()));
            }
            return new PeerMessage.Updates(updates.commandId(), items);
        }
    }
}
