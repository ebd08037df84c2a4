package gorsemast.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * When each waiting work is to go, and why some are not to go at all.
 *
 * @param slots by their start
 * @param left works that have no place, by key, and why
 * @param by who made it, for people
 */
public record Plan(List<Slot> slots, Map<String, String> left, String by) {
    /**
     * One machine's absence, in minutes from the plan's beginning.
     *
     * @param emptied until when it is being emptied
     * @param given back by its crew
     * @param end warm again
     */
    public record Slot(String key, Machine machine, int start, int emptied, int given, int end) {
        /** Whether it is not in full service in that minute. */
        boolean out(int minute) {
            return minute >= start && minute < end;
        }

        /** Whether the ledger refills its keys in that minute. */
        boolean refilling(int minute) {
            return minute >= start && minute < emptied || minute >= given && minute < end;
        }
    }

    public Plan {
        slots = slots.stream()
                .sorted(Comparator.comparingInt(Slot::start).thenComparing(Slot::key))
                .toList();
        left = Map.copyOf(left);
    }

    /** When all is done, in minutes; 0 for an empty plan. */
    public int makespan() {
        return slots.stream().mapToInt(Slot::end).max().orElse(0);
    }

    /** The most fetches a second that the ledger has to refill at any time. */
    public double ledgerPeak() {
        double peak = 0;
        for (Slot at : slots) {
            for (int minute : new int[] {at.start(), at.given()}) {
                peak = Math.max(
                        peak,
                        slots.stream()
                                .filter(slot -> slot.refilling(minute))
                                .mapToDouble(slot -> slot.machine().refill())
                                .sum());
            }
        }
        return peak;
    }

    /** The most machines that are out at any time. */
    public int width() {
        int width = 0;
        for (Slot at : slots) {
            width = Math.max(width, (int)
                    slots.stream().filter(slot -> slot.out(at.start())).count());
        }
        return width;
    }

    /** Whose turn it is now. */
    public List<Slot> now() {
        return slots.stream().filter(slot -> slot.start() == 0).toList();
    }
}
