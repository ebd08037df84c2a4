package gorsemast.node;

/** Reports invalid settings, with the reason and the key. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The kinds of errors. */
    public enum Code {
        UNREADABLE,
        MISSING,
        WRONG_TYPE,
        OUT_OF_RANGE
    }

    private final Code code;
    private final String key;

    SettingsException(Code code, String key, String message) {
        super(key + ": " + message);
        this.code = code;
        this.key = key;
    }

    /** Returns the kind of error. */
    public Code code() {
        return code;
    }

    /** Returns the path of keys to the invalid value, separated by dots. */
    public String key() {
        return key;
    }
}
