package gorsemast.registry;

/** Rejects a call that does not decode into a valid {@link Command}, with the HTTP status to answer. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Reason for the rejection. */
    public enum Code {
        /** The body is unreadable, or a value in it is not allowed. */
        INVALID(400),
        /** No call has this path. */
        UNKNOWN(404),
        /** The path exists, but not with this method. */
        METHOD(405);

        private final int status;

        Code(int status) {
            this.status = status;
        }

        /** Returns the HTTP status of the answer. */
        public int status() {
            return status;
        }
    }

    private final Code code;

    CommandException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /** Returns the reason for the rejection. */
    public Code code() {
        return code;
    }
}
