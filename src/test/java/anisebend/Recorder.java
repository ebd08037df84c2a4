package anisebend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records the actions of a balancer as lines of text, and the sends as records too. */
final class Recorder implements Balancer.Actions {
    record Sent(String request, String server, long until) {}

    final List<String> lines = new ArrayList<>();
    private final Map<String, Long> retryDelays = new HashMap<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    /** The time of each line. */
    final List<Long> times = new ArrayList<>();

    long now;

    private void record(String line) {
        lines.add(line);
        times.add(now);
    }

    @Override
    public void send(String request, String server, long until) {
        sent.add(new Sent(request, server, until));
        record("send " + request + " " + server);
    }

    @Override
    public void refuse(String request, long retryAfter) {
        record("refuse " + request);
        retryDelays.put(request, retryAfter);
    }

    @Override
    public void fail(String request) {
        record("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        record("cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        record("probe " + server);
    }

    @Override
    public void closeIdle(String server) {
        record("closeIdle " + server);
    }

    @Override
    public void subscribe() {
        record("subscribe");
    }

    @Override
    public void timer(long at, long token) {
        timers.add(at);
        record("timer " + at);
    }

    @Override
    public void log(String text) {
        record("log " + text);
    }

    /** Returns the retry delay of a refused request, in microseconds. */
    long retryAfter(String request) {
        return retryDelays.get(request);
    }

    boolean has(String line) {
        return lines.contains(line);
    }

    long count(String prefix) {
        return lines.stream().filter(line -> line.startsWith(prefix)).count();
    }
}
