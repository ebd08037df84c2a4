package gorsemast.simulation;

/** A violated rule of the system, with a description of what was observed. */
public final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String rule;

    Violation(String rule, String text) {
        super(rule + ": " + text);
        this.rule = rule;
    }

    /** The rule's name as the operators' documentation lists it. */
    public String rule() {
        return rule;
    }
}
