package gorsemast.proxy;

import gorsemast.gossip.Hash;
import gorsemast.logging.Log;
import gorsemast.proxy.RegistryMonitor.Health;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the registries that an edge is linked to: those ranked highest by rendezvous hashing, except that a registry that
 * does not confirm its state is replaced by the next one. An edge that stayed with a partitioned registry would miss every
 * update that the others acknowledge.
 *
 * <p>A link is given up only once its replacement confirms, so an edge holds one link more than usual meanwhile, and keeps
 * what it has while no registry confirms. After a while the edge tries a replaced registry again. That time differs between
 * edges, so that they don't all return at once. Single-threaded; times in microseconds of a monotonic clock.
 */
final class RegistrySelector {
    /** Until then after the start, a registry that is not synced yet is waited for: the core may be starting, too. */
    static final long START_MICROS = 1_000_000;
    /** A registry that did not confirm while no other one did is tried again after this time. */
    static final long RETRY_MICROS = 2_000_000;
    /** One that did not while another one did: after this time, and up to {@link #RETURN_SPREAD_MICROS} more. */
    static final long RETURN_MICROS = 10_000_000;

    static final long RETURN_SPREAD_MICROS = 10_000_000;
    /** A registry to which no link comes up within this time counts as one that does not confirm. */
    static final long CONNECT_MICROS = 1_000_000;
    /** Links that an edge holds beyond its usual number while it replaces one. */
    private static final int EXTRA_LINKS = 1;

    private static final Log LOG = new Log("proxy");

    /**
     * A registry did not confirm.
     *
     * @param othersConfirmed whether another one did, so that the fault is this registry's and not the whole core's
     */
    private record Failure(long at, boolean othersConfirmed) {}

    private final String ip;
    private final int maxLinks;
    private final long startedAt;
    private final long returnMicros;
    private final RegistryMonitor monitor;
    /** The registries that last did not confirm. */
    private final Map<String, Failure> failures = new HashMap<>();
    /** Since when a link to each has been wanted, beside one that is up. */
    private final Map<String, Long> dialledSince = new HashMap<>();

    private Set<String> targets = Set.of();

    /** Creates the selector of the edge at this address. */
    RegistrySelector(String ip, int maxLinks, long startedAt, RegistryMonitor monitor) {
        this.ip = ip;
        this.maxLinks = maxLinks;
        this.startedAt = startedAt;
        this.returnMicros = RETURN_MICROS + Math.floorMod(Hash.of(ip), RETURN_SPREAD_MICROS);
        this.monitor = monitor;
    }

    /** Returns whether a linked registry does not confirm its state, so that others are to be considered. */
    boolean isSearching(long now, Set<String> linked) {
        return linked.stream().anyMatch(registry -> isUnconfirmed(registry, now));
    }

    /**
     * Returns the addresses to link to.
     *
     * @param known the registries that are known to be up
     * @param seeds further addresses, of which some may be outdated: they rank below all known ones
     * @param linked those to which a link is up
     */
    Set<String> select(long now, Set<String> known, Set<String> seeds, Set<String> linked) {
        recordHealth(now, linked);
        List<String> ranked = new ArrayList<>(Hash.ranked(ip, known));
        Hash.ranked(ip, seeds).stream().filter(seed -> !known.contains(seed)).forEach(ranked::add);
        if (linked.isEmpty()) {
            return chosen(new LinkedHashSet<>(ranked), linked);
        }
        Predicate<String> isLinked = linked::contains;
        Predicate<String> isConfirming = registry -> monitor.health(registry) == Health.CONFIRMING;
        boolean anyConfirms = linked.stream().anyMatch(isConfirming);
        Set<String> preferred = new LinkedHashSet<>();
        addUpTo(maxLinks, preferred, ranked, registry -> !isAvoided(registry, now, anyConfirms));
        Set<String> selected = new LinkedHashSet<>(preferred);
        if (preferred.size() < maxLinks || !preferred.stream().allMatch(isConfirming)) {
            addUpTo(maxLinks + EXTRA_LINKS, selected, ranked, isLinked.and(isConfirming));
            addUpTo(maxLinks + EXTRA_LINKS, selected, ranked, isLinked);
        }
        return chosen(selected, linked);
    }

    private static void addUpTo(int size, Set<String> to, List<String> ranked, Predicate<String> condition) {
        for (String registry : ranked) {
            if (to.size() < size && condition.test(registry)) {
                to.add(registry);
            }
        }
    }

    private void recordHealth(long now, Set<String> linked) {
        boolean anyConfirms = linked.stream().anyMatch(registry -> monitor.health(registry) == Health.CONFIRMING);
        for (String registry : linked) {
            if (isUnconfirmed(registry, now)) {
                failures.put(registry, new Failure(now, anyConfirms));
            } else if (monitor.health(registry) == Health.CONFIRMING) {
                failures.remove(registry);
            }
        }
        recordUnreachable(now, linked, anyConfirms);
    }

    /** Finds targets to which no link comes up. Without any link none of them is better than another. */
    private void recordUnreachable(long now, Set<String> linked, boolean anyConfirms) {
        dialledSince.keySet().retainAll(targets);
        dialledSince.keySet().removeAll(linked);
        if (linked.isEmpty()) {
            dialledSince.clear();
            return;
        }
        for (String registry : targets) {
            if (linked.contains(registry)) {
                continue;
            }
            long since = dialledSince.computeIfAbsent(registry, added -> now);
            if (now - since > CONNECT_MICROS) {
                failures.put(registry, new Failure(now, anyConfirms));
            }
        }
    }

    private boolean isUnconfirmed(String registry, long now) {
        return switch (monitor.health(registry)) {
            case SILENT -> true;
            case UNSYNCED -> now - startedAt > START_MICROS;
            case UNKNOWN, CONFIRMING -> false;
        };
    }

    private boolean isAvoided(String registry, long now, boolean anyConfirms) {
        Failure failure = failures.get(registry);
        return failure != null
                && now - failure.at < (failure.othersConfirmed && anyConfirms ? returnMicros : RETRY_MICROS);
    }

    private Set<String> chosen(Set<String> selected, Set<String> linked) {
        if (!selected.equals(targets) && !linked.isEmpty()) {
            logChange(selected, linked);
        }
        targets = selected;
        return selected;
    }

    private void logChange(Set<String> selected, Set<String> linked) {
        for (String registry : linked) {
            if (targets.contains(registry) && !selected.contains(registry)) {
                LOG.info("leaves registry " + registry + " (" + monitor.health(registry) + "), links to " + selected);
            }
        }
        for (String registry : selected) {
            if (!linked.contains(registry) && !targets.contains(registry)) {
                LOG.info("links to registry " + registry + " beside " + linked);
            }
        }
    }
}
