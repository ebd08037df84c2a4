package gorsemast.node;

/** Settings that can't be worked with: why, and at which key. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is wrong. */
    public enum Code {
        UNREADABLE,
        MISSING,
        WRONG_TYPE,
        OUT_OF_RANGE
    }

    private final Code code;
    private final String key;

    SettingsException(Code code, String key, String text) {
        super(key + ": " + text);
        this.code = code;
        this.key = key;
    }

    /** What is wrong. */
    public Code code() {
        return code;
    }

    /** Where, as a path of keys with dots. */
    public String key() {
        return key;
    }
}
