package gorsemast.cache;

/** Another edge that waits for an object: told once, whatever comes later. One thread. */
final class EdgeWaiter<A> implements ObjectWaiter<A> {
    private final ObjectWaiter<A> edge;
    private boolean over;

    EdgeWaiter(ObjectWaiter<A> edge) {
        this.edge = edge;
    }

    /** Whether it has been told. */
    boolean isOver() {
        return over;
    }

    private void once(Runnable tell) {
        if (!over) {
            over = true;
            tell.run();
        }
    }

    @Override
    public void onResponse(CachedResponse copy, boolean once) {
        once(() -> edge.onResponse(copy, once));
    }

    @Override
    public void onUncacheable(A answer) {
        once(() -> edge.onUncacheable(answer));
    }

    @Override
    public void onRefused(long retryAfterMicros) {
        once(() -> edge.onRefused(retryAfterMicros));
    }

    @Override
    public void onFailed() {
        once(edge::onFailed);
    }

    @Override
    public void onTooLong() {
        once(edge::onTooLong);
    }

    @Override
    public void onStillFetching() {
        once(edge::onStillFetching);
    }
}
