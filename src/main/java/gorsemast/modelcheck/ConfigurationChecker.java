package gorsemast.modelcheck;

import gorsemast.store.CallOutcome;
import gorsemast.store.StoredVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks configuration updates by number and content: of the contents sent under a number at most one is ever acknowledged,
 * read or advertised; it is never refused, before or after; another one is refused only if that one is found in the end.
 * Throws {@link StoreSimulation.Violation}. Single-threaded.
 */
final class ConfigurationChecker {
    /** A configuration that an operator sends. */
    record Update(long version, String content) {
        byte[] body() {
            return content.getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * A call of an operator.
     *
     * @param update the update; null for a read
     * @param floor the newest version that was acknowledged when it was sent
     */
    record Call(Update update, long floor) {}

    private final List<Update> sent = new ArrayList<>();
    private final Map<Long, String> acknowledged = new HashMap<>();
    private final Set<Update> refused = new HashSet<>();
    private long newest;
    private long versions;
    private int answered;

    ConfigurationChecker() {
        acknowledged.put(0L, "");
    }

    /** The next version. */
    Update next() {
        return sent(++versions, "");
    }

    /** Another content under one of the last {@code back} numbers. */
    Update rival(int back) {
        long number = Math.max(1, versions - back);
        return sent(number, " as another has it, " + sent.size());
    }

    private Update sent(long number, String more) {
        versions = Math.max(versions, number);
        Update update = new Update(number, "content of " + number + more);
        sent.add(update);
        return update;
    }

    /** The update sent {@code back} before the last; the first one if there are fewer. */
    Update again(int back) {
        return sent.isEmpty() ? next() : sent.get(Math.max(0, sent.size() - 1 - back));
    }

    /** All updates under the last {@code numbers} numbers that have several contents. */
    List<Update> contested(int numbers) {
        Map<Long, Set<Update>> by = new TreeMap<>(Comparator.reverseOrder());
        sent.forEach(update -> by.computeIfAbsent(update.version, number -> new LinkedHashSet<>())
                .add(update));
        return by.values().stream()
                .filter(contents -> contents.size() > 1)
                .limit(numbers)
                .flatMap(Set::stream)
                .toList();
    }

    Call call(Update update) {
        return new Call(update, newest);
    }

    /** Whether a content of this number was acknowledged. */
    boolean isAcknowledged(long version) {
        return acknowledged.containsKey(version);
    }

    /** The newest version that was acknowledged. */
    long newest() {
        return newest;
    }

    /** The number of calls with a definite answer. */
    int answeredCalls() {
        return answered;
    }

    /** Checks the answer to a call. */
    void checkAnswer(String who, Call request, CallOutcome outcome, StoredVersion kept) {
        if (outcome == CallOutcome.UNCERTAIN) {
            return;
        }
        answered++;
        Update update = request.update;
        if (kept.version() < request.floor) {
            throw new StoreSimulation.Violation(
                    who + " answers with version " + kept.version() + " after " + request.floor + " was acknowledged");
        }
        if (update != null && kept.version() < update.version) {
            throw new StoreSimulation.Violation(
                    "version " + update.version + " is answered " + outcome + " where " + kept.version() + " holds");
        }
        if (outcome == CallOutcome.CONFLICT) {
            recordRefused(update);
        } else if (update != null) {
            recordAcknowledged(update);
        }
        if (kept.version() > 0) {
            recordAcknowledged(updateOf(kept));
        }
        newest = Math.max(newest, kept.version());
    }

    /** Checks a content that is advertised to edges as possibly in force. */
    void checkAdvertised(String who, StoredVersion kept) {
        if (kept.version() > 0 && refused.contains(updateOf(kept))) {
            throw new StoreSimulation.Violation(who + " advertises " + updateOf(kept).content + ", which was refused");
        }
    }

    private static Update updateOf(StoredVersion kept) {
        return new Update(kept.version(), new String(kept.body(), StandardCharsets.UTF_8));
    }

    private void recordRefused(Update update) {
        if (update.content.equals(acknowledged.get(update.version))) {
            throw new StoreSimulation.Violation(update.content + " is refused after it was acknowledged");
        }
        refused.add(update);
    }

    private void recordAcknowledged(Update update) {
        if (!sent.contains(update)) {
            throw new StoreSimulation.Violation(
                    "version " + update.version + " is answered as " + update.content + ", which nobody sent");
        }
        String before = acknowledged.putIfAbsent(update.version, update.content);
        if (before != null && !before.equals(update.content)) {
            throw new StoreSimulation.Violation(
                    "version " + update.version + " was acknowledged as " + before + " and as " + update.content);
        }
        if (refused.contains(update)) {
            throw new StoreSimulation.Violation(update.content + " is acknowledged after it was refused");
        }
    }

    /** Checks that of the contents resent after recovery one is acknowledged under each number. */
    void checkAtEnd(List<Update> contested) {
        for (Update update : contested) {
            if (acknowledged.get(update.version) == null) {
                throw new StoreSimulation.Violation(
                        update.content + " conflicts with another content, and neither is acknowledged in the end");
            }
        }
    }
}
