package gorsemast.storage;

/** The disk could not be read or written. */
public final class DiskException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The operation that failed. */
    public enum Code {
        OPEN,
        READ,
        WRITE
    }

    private final Code code;

    DiskException(Code code, Throwable cause) {
        super(code + ": " + cause, cause);
        this.code = code;
    }

    /** Returns the operation that failed. */
    public Code code() {
        return code;
    }
}
