package gorsemast.registry;

/** A call that is turned away, with the status that says why. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Why. */
    public enum Code {
        /** It can't be read, or is not allowed to be as it is. */
        INVALID(400),
        /** There is no such call. */
        UNKNOWN(404),
        /** There is one, by another method. */
        METHOD(405);

        private final int status;

        Code(int status) {
            this.status = status;
        }

        /** The answer's status. */
        public int status() {
            return status;
        }
    }

    private final Code code;

    CommandException(Code code, String text) {
        super(text);
        this.code = code;
    }

    /** Why. */
    public Code code() {
        return code;
    }
}
