package gorsemast.fleet;

/**
 * How far this process should doubt itself before it doubts others.
 *
 * <p><b>Idea.</b> The local health multiplier of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", DSN-W 2018): a process that hears no answers, has to refute what is
 * said of itself, or finds that it was stopped for a while is likelier slow itself than surrounded by the dead; so it
 * asks more slowly and waits longer. Beyond the paper, a pause of the own loop counts for as many steps as periods it
 * lasted.
 *
 * <p>Bounds: 0 to {@link #MOST}. One thread.
 */
final class LocalHealth {
    /** The paper's S: at most so many times the usual waiting on top. */
    static final int MOST = 8;

    private final boolean used;
    private int score;

    /** One that never moves where it is not {@code used}: plain SWIM, for comparison. */
    LocalHealth(boolean used) {
        this.used = used;
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    void worse(long steps) {
        if (used) {
            score = (int) Math.min(MOST, score + Math.max(0, steps));
        }
    }

    int score() {
        return score;
    }

    /** A time that others have to speak for themselves: up to twice as long, as one that is cut off must come to an end too. */
    long lenient(long usual) {
        return usual + usual * score / MOST;
    }

    /** A time that is usual, as long as this process needs just now. */
    long scaled(long usual) {
        return usual * (1 + score);
    }
}
