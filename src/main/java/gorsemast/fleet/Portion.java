package gorsemast.fleet;

import gorsemast.fleet.Claim.State;
import gorsemast.fleet.FleetView.MemberView;
import java.util.HashSet;
import java.util.Set;

/**
 * By how many whatever is bounded over all proxies is divided: never so few that the parts of all that may be running
 * sum up to more than the whole.
 *
 * <p><b>Idea.</b> A silent process may be dead, or live on the other side of a cut and take its part there; so may one
 * that the settings count and nobody has seen. So a part is one by the number of all that may be running: the settings'
 * number, less those proven gone or left that have not come back, and never less than those that live and those that are
 * silent without proof. In two halves of a partition each still divides by all; a crash of seven in ten, on machines
 * that answer for themselves, loosens the bounds for the rest. The number rises at once, and falls only after the lower
 * one has stood for {@value #LOOSEN} settling times in a view that is sure: who has just come may not be known here yet.
 *
 * <p><b>What a minority does.</b> The same as a majority. Nobody has to find out which side is larger, and no side takes
 * what the other may be taking.
 *
 * <p><b>When it could hurt.</b> A machine that has vanished with its process holds its part until somebody proves it
 * gone: the rest keep to less than they could take. A firewall that answers "port unreachable" for a live machine would
 * be believed.
 *
 * <p>Times in microseconds. O(members) a call. One thread.
 */
public final class Portion {
    /** A lower number must have stood for so many settling times. */
    private static final int LOOSEN = 2;

    private final long wait;
    private final int configured;
    private int present;
    private int lower;
    private long lowerSince = Long.MIN_VALUE;

    /** For a fleet whose settings name so many processes. */
    public Portion(FleetSettings settings, int configured) {
        this.wait = LOOSEN * settings.settle();
        this.configured = Math.max(1, configured);
        this.present = this.configured;
    }

    /** By how many to divide now. Time must not go back. */
    public int of(long now, FleetView view) {
        int counted = counted(view);
        if (counted >= present) {
            present = counted;
            lowerSince = Long.MIN_VALUE;
            return present;
        }
        if (!view.sure()) {
            lowerSince = Long.MIN_VALUE; // in doubt nothing is loosened
            return present;
        }
        if (lowerSince == Long.MIN_VALUE || counted > lower) {
            lowerSince = now;
        }
        lower = counted;
        if (now - lowerSince >= wait) {
            present = Math.max(1, counted);
            lowerSince = Long.MIN_VALUE;
        }
        return present;
    }

    /** All that may be running. */
    private int counted(FleetView view) {
        Set<String> running = new HashSet<>();
        Set<String> ended = new HashSet<>();
        int live = 0;
        for (MemberView member : view.members()) {
            if (member.state().live()) {
                live++; // two of one name are two
                running.add(member.id().name());
            }
        }
        int silent = 0;
        for (MemberView member : view.members()) {
            String name = member.id().name();
            if (member.state() == State.SILENT && running.add(name)) {
                silent++;
            }
        }
        for (MemberView member : view.members()) {
            if (member.state() == State.GONE || member.state() == State.LEFT) {
                ended.add(member.id().name());
            }
        }
        ended.removeAll(running);
        return Math.max(live + silent, configured - ended.size());
    }
}
