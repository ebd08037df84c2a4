package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** Calls from outside to core machines, and what waits for the next acknowledgement. One thread; microseconds. */
final class Outside {
    private final World world;
    private final List<Waiting> waiting = new ArrayList<>();
    /** A share of the answers to operators that is lost. */
    double ackLoss;

    Outside(World world) {
        this.world = world;
    }

    /** A call from outside; its caller waits {@code patience} for the answer. */
    record Call(String method, String path, String body, long patience) {}

    /**
     * A call from outside to a machine's registry.
     *
     * @param answered called when that answers, whether the caller hears of it or not
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
        world.time.after(call.patience, () -> once.accept(0, null));
        long way = world.ways.way(1_000);
        world.time.after(way, () -> {
            Process process = to.power && !to.gone ? world.process(Program.REGISTRY, to) : null;
            if (process == null) {
                if (to.power && !to.gone) {
                    world.time.after(way, () -> once.accept(0, null));
                }
                return;
            }
            byte[] body = call.body.getBytes(StandardCharsets.UTF_8);
            boolean[] replied = new boolean[1];
            process.run(() -> ((Registry) process).call(call.method, call.path, body, (status, text, bytes) -> {
                if (replied[0]) {
                    return; // a second answer is let be
                }
                replied[0] = true;
                answered.accept(status);
                if (status == 200 && call.method.equals("POST")) {
                    acknowledged(Acknowledged.of(call), to);
                }
                boolean operators = !call.path.startsWith("/v1/nodes/");
                if (ackLoss > 0 && operators && world.random.nextDouble() < ackLoss) {
                    return;
                }
                String told = bytes == null ? text : new String(bytes, StandardCharsets.UTF_8);
                world.time.after(way, () -> once.accept(status, told));
            }));
        });
    }

    private record Waiting(Acknowledged what, Consumer<Machine> then) {}

    /** What happens when a core machine next acknowledges something of that sort. */
    void onAck(Acknowledged what, Consumer<Machine> then) {
        waiting.add(new Waiting(what, then));
    }

    private void acknowledged(Acknowledged what, Machine by) {
        List<Waiting> due = waiting.stream().filter(one -> one.what.fits(what)).toList();
        waiting.removeAll(due);
        due.forEach(one -> one.then.accept(by));
    }
}
