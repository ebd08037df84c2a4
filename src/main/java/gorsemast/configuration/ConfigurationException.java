package gorsemast.configuration;

/** A refused configuration: the reason and the key at fault. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The reason of the refusal. */
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

    ConfigurationException(Code code, String key, String reason) {
        super(key + ": " + reason);
        this.code = code;
    }

    /** Returns the reason of the refusal. */
    public Code code() {
        return code;
    }
}
