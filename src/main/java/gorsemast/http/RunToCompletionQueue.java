package gorsemast.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Runs events one at a time to completion, so that a module is not re-entered: actions that an event causes run after
 * it, and events that these cause run after them. An exception in one step does not stop the others. Single-threaded.
 */
public final class RunToCompletionQueue {
    private final Queue<Runnable> events = new ArrayDeque<>();
    private final Queue<Runnable> actions = new ArrayDeque<>();
    private final Consumer<RuntimeException> exceptionHandler;
    private boolean running;

    /** @param exceptionHandler receives exceptions thrown by steps */
    public RunToCompletionQueue(Consumer<RuntimeException> exceptionHandler) {
        this.exceptionHandler = exceptionHandler;
    }

    /** Queues an event for the module, and runs the queue unless it is already running. */
    public void event(Runnable event) {
        events.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!events.isEmpty()) {
                step(events.poll());
                while (!actions.isEmpty()) {
                    step(actions.poll());
                }
            }
        } finally {
            running = false;
        }
    }

    /** Queues an action that the module requests, to run after the current event. */
    public void action(Runnable action) {
        actions.add(action);
    }

    /** Whether nothing is queued. */
    public boolean idle() {
        return events.isEmpty() && actions.isEmpty();
    }

    private void step(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            exceptionHandler.accept(e);
        }
    }
}
