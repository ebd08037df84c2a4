package gorsemast.simulation;

/** A rule was broken, or a promise not kept. */
public final class Broken extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String rule;

    Broken(String rule, String text) {
        super(rule + ": " + text);
        this.rule = rule;
    }

    /** Its name, as the operators' page has it. */
    public String rule() {
        return rule;
    }
}
