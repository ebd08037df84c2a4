package gorsemast.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a response must satisfy, by RFC 9112 and RFC 9110, beyond what Netty's decoder requires. Each method throws a
 * {@link BrokenResponseException} where a rule is violated.
 */
final class ResponseRules {
    private static final String PROTOCOL = "HTTP/";
    private static final String MAJOR_VERSION = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final char MIN_STATUS_CLASS = '1';
    private static final char MAX_STATUS_CLASS = '5';
    private static final char DELETE = 0x7f;

    private ResponseRules() {}

    /**
     * Checks the words of a status line (RFC 9112, section 4).
     *
     * @param reason the reason phrase, which may be empty
     * @throws IllegalArgumentException if the line doesn't begin as a status line at all
     */
    static void checkStatusLine(String version, String status, String reason) {
        if (!version.regionMatches(true, 0, PROTOCOL, 0, PROTOCOL.length())) {
            throw new IllegalArgumentException("not a status line");
        }
        boolean minorVersion =
                version.length() == MAJOR_VERSION.length() + 1 && isDigit(version, MAJOR_VERSION.length());
        if (!version.startsWith(MAJOR_VERSION) || !minorVersion) {
            throw new BrokenResponseException("protocol version of a response");
        }
        if (!isStatusCode(status)) {
            throw new BrokenResponseException("status code of a response");
        }
        if (!isReasonPhrase(reason)) {
            throw new BrokenResponseException("control character in a reason phrase");
        }
    }

    /** Whether a status code is three digits from 100 to 599 (RFC 9110, section 15). */
    private static boolean isStatusCode(String status) {
        return status.length() == STATUS_DIGITS
                && status.charAt(0) >= MIN_STATUS_CLASS
                && status.charAt(0) <= MAX_STATUS_CLASS
                && isDigit(status, 1)
                && isDigit(status, 2);
    }

    private static boolean isDigit(String text, int index) {
        return text.charAt(index) >= '0' && text.charAt(index) <= '9';
    }

    private static boolean isReasonPhrase(String reason) {
        for (int i = 0; i < reason.length(); i++) {
            char character = reason.charAt(i);
            if (character < ' ' && character != '\t' || character == DELETE) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks that a body has no transfer coding but one of {@code chunked}, the only one that is decoded here (RFC 9112,
     * sections 6.1 and 7). A body in any other would be passed on coded.
     */
    static void checkTransferCoding(HttpHeaders headers) {
        int codings = 0;
        for (String line : headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
            for (String element : line.split(",", -1)) {
                String coding = element.trim();
                if (!coding.isEmpty() && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding)) {
                    throw new BrokenResponseException("transfer coding of a response");
                }
                codings += coding.isEmpty() ? 0 : 1;
            }
        }
        if (codings > 1) {
            throw new BrokenResponseException("response that is chunked more than once");
        }
    }
}
