package gorsemast.upgrade;

import java.util.List;

/**
 * What a proxy's processes are to each other, from what each says of itself.
 *
 * <p><b>Idea.</b> Each process has an order, later ones a higher one, and a standing. A process that is to end can leave
 * at once where a later one takes clients at this moment; it must serve on where there is none, where that one is still
 * warming up, or where that one is to end as well: a restart in the middle of an upgrade stops both. So the question is
 * asked again for as long as the process lives, not once when the signal comes. Nor does the number of processes have a
 * bound: an operator may begin an upgrade anew while one is under way.
 *
 * <p><b>Bounds.</b> O(processes) time and memory; no I/O, no clock.
 */
public final class Generations {
    /** What a process says of itself. */
    public enum Standing {
        /** It warms up and listens to no client yet. */
        STARTING('s'),
        /** It takes clients. */
        SERVING('t'),
        /** It has been emptied and stays. */
        EMPTIED('e'),
        /** It is to end. */
        LEAVING('l');

        final byte sign;

        Standing(char sign) {
            this.sign = (byte) sign;
        }

        /** What a sign stands for; one that is not known, as of a later version, is taken for one that takes nobody. */
        static Standing of(int sign) {
            for (Standing standing : values()) {
                if (standing.sign == sign) {
                    return standing;
                }
            }
            return EMPTIED;
        }
    }

    /** A live process of this proxy. */
    public record Member(long order, Standing standing) {}

    private final long own;
    private List<Member> others = List.of();

    /** The view of the process with this order, that knows of no other yet. */
    public Generations(long own) {
        this.own = own;
    }

    /** Takes over who else is alive now. */
    public void seen(List<Member> alive) {
        others = List.copyOf(alive);
    }

    /** How many processes share what the proxy may hold, this one among them. */
    public int processes() {
        return others.size() + 1;
    }

    /** Whether a later process takes clients, so that this one may leave at once. */
    public boolean succeeded() {
        return others.stream().anyMatch(m -> m.order() > own && m.standing() == Standing.SERVING);
    }

    /** Whether a process that came before this one is still alive. */
    public boolean hasPredecessor() {
        return others.stream().anyMatch(m -> m.order() < own);
    }
}
