package gorsemast.http;

/**
 * A response violates HTTP. Thrown by the decoder, it is still the server's reaction to a request, unlike other bytes that
 * can't be decoded; {@link FinalResponses} makes no such difference.
 */
public final class BrokenResponseException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    BrokenResponseException(String message) {
        super(message);
    }
}
