package gorsemast.http;

/**
 * A server has sent a response that violates HTTP. Unlike other bytes that can't be decoded, it is the server's reaction
 * to a request.
 */
public final class BrokenResponseException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    BrokenResponseException(String message) {
        super(message);
    }
}
