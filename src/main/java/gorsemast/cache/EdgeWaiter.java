package gorsemast.cache;

/** Another edge that waits for an object: only the first notification reaches it. Not thread-safe. */
final class EdgeWaiter<A> implements ObjectWaiter<A> {
    private final ObjectWaiter<A> delegate;
    private boolean answered;

    EdgeWaiter(ObjectWaiter<A> delegate) {
        this.delegate = delegate;
    }

    /** Whether it has been notified. */
    boolean isAnswered() {
        return answered;
    }

    private void once(Runnable answer) {
        if (!answered) {
            answered = true;
            answer.run();
        }
    }

    @Override
    public void onResponse(CachedResponse response, boolean purged) {
        once(() -> delegate.onResponse(response, purged));
    }

    @Override
    public void onUncacheable(A answer) {
        once(() -> delegate.onUncacheable(answer));
    }

    @Override
    public void onRefused(long retryAfterMicros) {
        once(() -> delegate.onRefused(retryAfterMicros));
    }

    @Override
    public void onFailed() {
        once(delegate::onFailed);
    }

    @Override
    public void onTooLong() {
        once(delegate::onTooLong);
    }

    @Override
    public void onStillFetching() {
        once(delegate::onStillFetching);
    }

    @Override
    public boolean isWaiting() {
        return !answered && delegate.isWaiting();
    }
}
