package gorsemast.proxy;

import gorsemast.logging.Log;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells which of the linked registries confirm that their state is current. A registry that is partitioned from the
 * others says that it is not synced; one whose process stands still says nothing, though its link is open. Single-threaded;
 * times in microseconds of a monotonic clock.
 */
final class RegistryMonitor {
    /** A registry whose last confirmation was requested longer ago than this counts as silent: it is asked three times as often. */
    static final long SILENCE_MICROS = 1_500_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private static final Log LOG = new Log("proxy");

    /** What is known of a registry's state. */
    enum Health {
        /** The link is new, and no reply has arrived. */
        UNKNOWN,
        /** The last reply said that its state is current. */
        CONFIRMING,
        /** The last reply said that its state may be outdated. */
        UNSYNCED,
        /** It has not replied for {@link #SILENCE_MICROS}. */
        SILENT
    }

    /** A registry with a link. */
    private static final class LinkedRegistry {
        /** When the last confirmation was requested; before the first one, when the link came up. */
        private long confirmedAt;

        private Health health = Health.UNKNOWN;

        LinkedRegistry(long linkedAt) {
            confirmedAt = linkedAt;
        }
    }

    private final Map<String, LinkedRegistry> registries = new LinkedHashMap<>();

    /** Records which registries are linked, and finds those that have fallen silent. */
    void update(long now, Set<String> linked) {
        registries.keySet().retainAll(linked);
        linked.forEach(ip -> registries.computeIfAbsent(ip, added -> new LinkedRegistry(now)));
        registries.forEach((ip, registry) -> {
            boolean isSilent = now - registry.confirmedAt > SILENCE_MICROS && registry.health != Health.UNSYNCED;
            if (isSilent) {
                change(ip, registry, Health.SILENT, now);
            }
        });
    }

    /** Records a reply of a registry to a request that was sent at {@code requestedAt}. */
    void replied(String ip, long requestedAt, boolean synced, long now) {
        LinkedRegistry registry = registries.computeIfAbsent(ip, added -> new LinkedRegistry(now));
        if (!synced) {
            change(ip, registry, Health.UNSYNCED, now);
            return;
        }
        registry.confirmedAt = Math.max(registry.confirmedAt, requestedAt);
        if (now - registry.confirmedAt <= SILENCE_MICROS) {
            change(ip, registry, Health.CONFIRMING, now);
        }
    }

    /** Forgets how long registries have been silent, as this process stood still itself. */
    void resume(long now) {
        registries.values().forEach(registry -> registry.confirmedAt = now);
    }

    /** What is known of a registry; unknown for one that is not linked. */
    Health health(String ip) {
        LinkedRegistry registry = registries.get(ip);
        return registry == null ? Health.UNKNOWN : registry.health;
    }

    private static void change(String ip, LinkedRegistry registry, Health health, long now) {
        if (registry.health == health) {
            return;
        }
        if (health == Health.CONFIRMING) {
            LOG.info("registry " + ip + " confirms its state");
        } else {
            LOG.warn("registry " + ip + " does not confirm its state: " + health + ", last confirmed or linked "
                    + (now - registry.confirmedAt) / MICROS_PER_MILLI + " ms ago");
        }
        registry.health = health;
    }
}
