package anisebend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the actions of a balancer, each as a line of text and the sends as records too. */
final class Recorder implements Balancer.Actions {
    record Sent(String request, String server, long until) {}

    final List<String> lines = new ArrayList<>();
    private final Map<String, Long> comeBack = new HashMap<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Long> timers = new ArrayList<>();
    /** When each line was noted. */
    final List<Long> times = new ArrayList<>();

    long now;

    private void note(String line) {
        lines.add(line);
        times.add(now);
    }

    @Override
    public void send(String request, String server, long until) {
        sent.add(new Sent(request, server, until));
        note("send " + request + " " + server);
    }

    @Override
    public void refuse(String request, long retryAfter) {
        note("refuse " + request);
        comeBack.put(request, retryAfter);
    }

    @Override
    public void fail(String request) {
        note("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        note("cancel " + request + " " + attempt);
    }

    @Override
    public void probe(String server) {
        note("probe " + server);
    }

    @Override
    public void closeIdle(String server) {
        note("closeIdle " + server);
    }

    @Override
    public void subscribe() {
        note("subscribe");
    }

    @Override
    public void timer(long at, long token) {
        timers.add(at);
        note("timer " + at);
    }

    @Override
    public void log(String text) {
        note("log " + text);
    }

    /** When a refused request is to come back, in microseconds. */
    long retryAfter(String request) {
        return comeBack.get(request);
    }

    boolean has(String line) {
        return lines.contains(line);
    }

    long count(String prefix) {
        return lines.stream().filter(line -> line.startsWith(prefix)).count();
    }
}
