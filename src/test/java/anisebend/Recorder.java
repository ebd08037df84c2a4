package anisebend;

import java.util.ArrayList;
import java.util.List;

/** Keeps the actions of a balancer, each as a line of text and the sends as records too. */
final class Recorder implements Balancer.Actions {
    record Sent(String request, String server, long until) {
    }

    final List<String> lines = new ArrayList<>();
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

    boolean has(String line) {
        return lines.contains(line);
    }

    long count(String prefix) {
        return lines.stream().filter(line -> line.startsWith(prefix)).count();
    }
}
