package gorsemast.fleet;

import gorsemast.fleet.FleetView.MemberView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a process that has just started takes its list of nodes from the others, and whose.
 *
 * <p><b>Idea.</b> A restarted process waits for an overbooked register although the one beside it has the list. It asks
 * those that tell of the newest lists, {@value #ASKED} of them, and takes what two of them say alike: one that is stale,
 * or lies, is outvoted, as in quorum reads. What a single one says counts only where no other can be asked. As soon as
 * the register has answered itself, nothing of others is asked or taken any more, and a list that is no newer than the
 * own, or that nobody has had confirmed by the register for {@link #MOST_AGE}, is not taken. Whoever applies it must keep
 * what the own list says to drain.
 *
 * <p>Times in microseconds. O({@value #ASKED}) memory. One thread; no I/O.
 */
public final class Learning {
    /** Two that agree outvote one. */
    public static final int ASKED = 3;
    /** A list that the register has told or confirmed longer ago than this is taken from nobody. */
    public static final long MOST_AGE = 60_000_000;
    /** Who has not answered by then counts as failed. */
    public static final long PATIENCE = 500_000;
    /** After a round that came to nothing the next waits for so long. */
    private static final long PAUSE = 1_000_000;

    private static final int ENOUGH = 2;

    /** The fact by which a process tells the version of its list. */
    public static final String LIST = "list";
    /** The fact by which it tells where it can be asked for that. */
    public static final String ADMIN = "admin";

    /**
     * What one of the others answered.
     *
     * @param digest of the list's content: equal where two say the same
     * @param age since the register told or confirmed it
     */
    public record Offer(String from, long version, long digest, long age) {}

    private final Map<String, Offer> offers = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Set<String> failed = new HashSet<>();
    private long roundEnds;
    private long nextRound;
    private int candidates;
    private boolean over;

    /**
     * Whom to ask now, by their second addresses; empty for nobody. To be asked often.
     *
     * @param version of the own list
     * @param listed whether the register itself has told this process a list
     */
    public List<String> ask(long now, FleetView view, long version, boolean listed) {
        over |= listed;
        if (over || !asked.isEmpty() || now < nextRound) {
            return List.of();
        }
        List<MemberView> known = new ArrayList<>();
        for (MemberView member : view.members()) {
            if (member.state() == Claim.State.ALIVE
                    && !member.id().equals(view.self())
                    && version(member) > version
                    && member.facts().containsKey(ADMIN)) {
                known.add(member);
            }
        }
        known.sort(Comparator.comparingLong(Learning::version).reversed().thenComparing(MemberView::id));
        candidates = known.size();
        for (MemberView member : known.subList(0, Math.min(ASKED, known.size()))) {
            asked.add(member.facts().get(ADMIN));
        }
        roundEnds = now + PATIENCE;
        return List.copyOf(asked);
    }

    private static long version(MemberView member) {
        try {
            return Long.parseLong(member.facts().getOrDefault(LIST, "-1"));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** One has answered; whose list to take now, null for nobody's yet. */
    public Offer answered(long now, Offer offer, long version) {
        if (over || !asked.contains(offer.from())) {
            return null;
        }
        if (offer.age() > MOST_AGE || offer.age() < 0 || offer.version() <= version) {
            return failed(now, offer.from());
        }
        offers.put(offer.from(), offer);
        return judge(now);
    }

    /** One has not answered, or nothing that can be used; whose list to take now, null for nobody's yet. */
    public Offer failed(long now, String from) {
        if (!over && asked.contains(from)) {
            failed.add(from);
            return judge(now);
        }
        return null;
    }

    private Offer judge(long now) {
        Offer best = null;
        for (Offer offer : offers.values()) {
            long alike = offers.values().stream()
                    .filter(o -> o.digest() == offer.digest() && o.version() == offer.version())
                    .count();
            if (alike >= ENOUGH && (best == null || offer.version() > best.version())) {
                best = offer;
            }
        }
        boolean all = offers.size() + failed.size() >= asked.size() || now >= roundEnds;
        if (best == null && all && candidates == 1 && offers.size() == 1) {
            best = offers.values().iterator().next(); // nobody else to ask
        }
        if (best != null) {
            over = true;
        } else if (all) {
            asked.clear();
            offers.clear();
            failed.clear();
            nextRound = now + PAUSE;
        }
        return best;
    }
}
