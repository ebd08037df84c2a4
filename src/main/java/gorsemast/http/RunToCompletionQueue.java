package gorsemast.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Keeps a module from being entered while it is running: what its actions bring about waits until the event before it is
 * done. One faulty step does not take the others with it. One thread.
 */
public final class RunToCompletionQueue {
    private final Queue<Runnable> events = new ArrayDeque<>();
    private final Queue<Runnable> actions = new ArrayDeque<>();
    private final Consumer<RuntimeException> faults;
    private boolean busy;

    /** @param faults told of what a step throws */
    public RunToCompletionQueue(Consumer<RuntimeException> faults) {
        this.faults = faults;
    }

    /** Something for the module. */
    public void event(Runnable event) {
        events.add(event);
        if (busy) {
            return;
        }
        busy = true;
        try {
            while (!events.isEmpty()) {
                step(events.poll());
                while (!actions.isEmpty()) {
                    step(actions.poll());
                }
            }
        } finally {
            busy = false;
        }
    }

    /** Something that the module wants done, after the event in which it said so. */
    public void action(Runnable action) {
        actions.add(action);
    }

    /** Whether nothing waits. */
    public boolean idle() {
        return events.isEmpty() && actions.isEmpty();
    }

    private void step(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            faults.accept(e);
        }
    }
}
