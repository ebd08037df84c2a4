package gorsemast.fleet;

/** What claims say together, for tests of other packages. */
public final class ClaimJoins {
    private ClaimJoins() {}

    public static Claim join(Claim one, Claim other) {
        return one.join(other);
    }
}
