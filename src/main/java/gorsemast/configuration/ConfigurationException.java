package gorsemast.configuration;

/** A configuration that is refused: why, and at which key. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with it. */
    public enum Code {
        UNREADABLE,
        MISSING,
        WRONG_TYPE,
        UNKNOWN_SERVICE,
        NO_WEIGHT,
        BELOW_ZERO,
        NO_ATTEMPTS,
        SAME_PLACE
    }

    private final Code code;

    ConfigurationException(Code code, String at, String text) {
        super(at + ": " + text);
        this.code = code;
    }

    /** What is wrong with it. */
    public Code code() {
        return code;
    }
}
