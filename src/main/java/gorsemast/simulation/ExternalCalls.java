package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Calls from operators and servers to core machines, and actions that wait for an acknowledgement. Single-threaded; times in
 * microseconds.
 */
final class ExternalCalls {
    private final Simulation simulation;
    private final List<Waiting> waiting = new ArrayList<>();
    /** The share of answers to operators that is lost. */
    double ackLoss;

    ExternalCalls(Simulation simulation) {
        this.simulation = simulation;
    }

    /** An external call; its caller waits {@code patience} for the answer. */
    record Call(String method, String path, String body, long patience) {}

    /**
     * Sends an external call to a machine's registry.
     *
     * @param answered called when the registry answers, whether or not the answer reaches the caller
     * @param end called once, with status 0 for no answer
     */
    void call(Machine to, Call call, IntConsumer answered, BiConsumer<Integer, String> end) {
        boolean[] over = new boolean[1];
        BiConsumer<Integer, String> once = (status, text) -> {
            if (!over[0]) {
                over[0] = true;
                end.accept(status, text);
            }
        };
        simulation.time.after(call.patience, () -> once.accept(0, null));
        long way = simulation.links.randomLatency(1_000);
        simulation.time.after(way, () -> {
            Process process = to.power && !to.removed ? simulation.process(Program.REGISTRY, to) : null;
            if (process == null) {
                if (to.power && !to.removed) {
                    simulation.time.after(way, () -> once.accept(0, null));
                }
                return;
            }
            byte[] body = call.body.getBytes(StandardCharsets.UTF_8);
            boolean[] replied = new boolean[1];
            process.run(() -> ((Registry) process).call(call.method, call.path, body, (status, text, bytes) -> {
                if (replied[0]) {
                    return; // only the first answer counts
                }
                replied[0] = true;
                answered.accept(status);
                if (status == 200 && call.method.equals("POST")) {
                    acknowledged(AcknowledgedChange.of(call), to);
                }
                boolean operators = !call.path.startsWith("/v1/nodes/");
                if (ackLoss > 0 && operators && simulation.random.nextDouble() < ackLoss) {
                    return;
                }
                String told = bytes == null ? text : new String(bytes, StandardCharsets.UTF_8);
                simulation.time.after(way, () -> once.accept(status, told));
            }));
        });
    }

    private record Waiting(AcknowledgedChange what, Consumer<Machine> then) {}

    /** Runs {@code then} when a core machine next acknowledges a change of this kind. */
    void onAck(AcknowledgedChange what, Consumer<Machine> then) {
        waiting.add(new Waiting(what, then));
    }

    private void acknowledged(AcknowledgedChange what, Machine by) {
        List<Waiting> due = waiting.stream().filter(one -> one.what.fits(what)).toList();
        waiting.removeAll(due);
        due.forEach(one -> one.then.accept(by));
    }
}
