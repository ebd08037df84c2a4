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
    public void here(Copy copy, boolean once) {
        once(() -> edge.here(copy, once));
    }

    @Override
    public void other(A answer) {
        once(() -> edge.other(answer));
    }

    @Override
    public void refused(long retryAfterMicros) {
        once(() -> edge.refused(retryAfterMicros));
    }

    @Override
    public void failed() {
        once(edge::failed);
    }

    @Override
    public void tooLong() {
        once(edge::tooLong);
    }

    @Override
    public void inHand() {
        once(edge::inHand);
    }
}
