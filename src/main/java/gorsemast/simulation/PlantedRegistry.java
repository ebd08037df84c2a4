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

/** Planted defects of a registry: what it answers by itself, and what it tells in place of what it knows. */
final class PlantedRegistry {
    private static final int UNANSWERED = 4;

    private PlantedRegistry() {}

    /** Whether a call was answered here, or is never to be. */
    static boolean answers(Plant plant, RegistryNode office, Command command, RegistryNode.Reply reply) {
        Entry held = office.state().get(Entry.Kind.CONFIGURATION, "");
        if (command instanceof Command.Read && plant == Plant.READS_ALONE && held != null) {
            reply.answer(200, null, held.body());
            return true;
        }
        if (!(command instanceof Command.Replace replace)) {
            return false;
        }
        long number = replace.configuration().version();
        boolean known = held != null && number <= held.stamp();
        if (known && plant == Plant.ACKS_ANY_CONTENT) {
            reply.answer(200, null, null);
            return true;
        }
        if (known && plant == Plant.REFUSES_AGAIN) {
            reply.answer(409, "taken", null);
            return true;
        }
        return plant == Plant.ANSWERS_NOTHING && number % UNANSWERED == 0;
    }

    /** Configurations that were ordered here, by their number. */
    static final class Own {
        private final Map<Long, Configuration> ordered = new HashMap<>();

        void ordered(Command command) {
            if (command instanceof Command.Replace replace) {
                ordered.put(replace.configuration().version(), replace.configuration());
            }
        }

        /** News with the contents that were ordered here in place of those that hold. */
        PeerMessage told(PeerMessage record) {
            if (!(record instanceof PeerMessage.Updates news)) {
                return record;
            }
            List<Entry> items = new ArrayList<>();
            for (Entry item : news.entries()) {
                Configuration own = item.kind() == Entry.Kind.CONFIGURATION ? ordered.get(item.stamp()) : null;
                items.add(
                        own == null
                                ? item
                                : new Entry(item.kind(), item.key(), item.stamp(), own.body(), item.createdAt()));
            }
            return new PeerMessage.Updates(news.commandId(), items);
        }
    }
}
