package anisebend.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * A strictly parsed and validated request head. Validation precedes any buffering, so that bad requests are cheap.
 * Ambiguous heads are rejected, as the next hop might interpret them differently (request smuggling).
 */
final class RequestHead {
    static final int MAX_BODY = 32 << 20;
    /** Up to this length a body is buffered without a memory reservation. */
    static final int SHORT_BODY = 64 << 10;

    static final String READY = "/health/ready";
    private static final String API_PREFIX = "/api/";
    private static final int MAX_ID_LENGTH = 256;
    private static final int MAX_NUMBER_LENGTH = 12;
    /** A wait is capped at the class's deadline plus this fraction of it; waiting longer only holds memory. */
    private static final long DEADLINE_SLACK_DIVISOR = 8;

    private static final double MICROS_PER_SECOND = 1e6;

    /** The error status to answer with, null for a valid request. */
    final HttpResponseStatus problem;
    /** Whether the request has no body, so that the next one may follow directly. */
    final boolean framed;

    String id;
    String idempotencyKey;
    String key;
    int requestClass;
    int tenant;
    long waitMicros;
    /** The length of the body, -1 for a chunked one. */
    long length;
    /** Whether the client marks this request as a retry. */
    boolean repeat;

    /** Parses the head of a request to the API or the readiness probe. */
    RequestHead(HttpRequest request, ProxyConfig config) {
        HttpHeaders headers = request.headers();
        HttpResponseStatus framingError = checkFraming(request, headers);
        framed = framingError == null
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        problem = framingError != null ? framingError : parseFields(request, headers, config);
    }

    /** Checks the framing: at most one decimal Content-Length, or a plain chunked Transfer-Encoding. */
    private static HttpResponseStatus checkFraming(HttpRequest request, HttpHeaders headers) {
        if (request.decoderResult().isFailure()
                || !HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                        && !HttpVersion.HTTP_1_0.equals(request.protocolVersion())) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        List<String> contentLengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (contentLengths.size() + transferCodings.size() > 1
                || transferCodings.size() == 1
                        && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (contentLengths.size() == 1) {
            String length = contentLengths.get(0);
            if (length.isEmpty() || !isDigits(length, 0, length.length())) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            if (length.length() > MAX_NUMBER_LENGTH || Long.parseLong(length) > MAX_BODY) {
                return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            }
        }
        return null;
    }

    private HttpResponseStatus parseFields(HttpRequest request, HttpHeaders headers, ProxyConfig config) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpMethod method = request.method();
        if (path.equals(READY)) {
            return method.equals(HttpMethod.GET) ? null : HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        if (!path.startsWith(API_PREFIX)) {
            return HttpResponseStatus.NOT_FOUND;
        }
        boolean read = method.equals(HttpMethod.GET);
        if (!read && !method.equals(HttpMethod.PUT)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        id = singleValue(headers, "X-Correlation-Id");
        idempotencyKey = singleValue(headers, "Idempotency-Key");
        requestClass = config.classes().number(singleValue(headers, "X-Service-Class"));
        tenant = config.names().tenants().isEmpty()
                ? 0
                : index(config.names().tenants(), singleValue(headers, "X-Account"));
        waitMicros = micros(singleValue(headers, "X-Time-Left"));
        // The body of a read has no meaning and would have to be forwarded.
        if (id == null
                || id.isEmpty()
                || id.length() > MAX_ID_LENGTH
                || requestClass < 0
                || tenant < 0
                || waitMicros <= 0
                || headers.getAll("Idempotency-Key").size() > 1
                || read && !framed && !"0".equals(headers.get(HttpHeaderNames.CONTENT_LENGTH))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        long deadline = config.settings().classes().get(requestClass).deadline();
        waitMicros = Math.min(waitMicros, deadline + deadline / DEADLINE_SLACK_DIVISOR);
        String contentLength = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        length = contentLength != null
                ? Long.parseLong(contentLength)
                : headers.contains(HttpHeaderNames.TRANSFER_ENCODING) ? -1 : 0;
        repeat = "1".equals(headers.get("X-Repeat"));
        key = path.substring(path.lastIndexOf('/') + 1);
        return null;
    }

    /** The value of a header; null if it is missing or repeated. */
    private static String singleValue(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0) : null;
    }

    /** The index of a value, -1 if it is null or absent: immutable lists throw on {@code indexOf(null)}. */
    private static int index(List<String> names, String value) {
        return value == null ? -1 : names.indexOf(value);
    }

    /** Converts plain decimal seconds to microseconds; 0 for anything else. */
    private static long micros(String seconds) {
        if (seconds == null || seconds.isEmpty() || seconds.length() > MAX_NUMBER_LENGTH) {
            return 0;
        }
        int point = seconds.indexOf('.');
        int integerEnd = point < 0 ? seconds.length() : point;
        boolean valid = integerEnd > 0
                && isDigits(seconds, 0, integerEnd)
                && (point < 0 || point + 1 < seconds.length() && isDigits(seconds, point + 1, seconds.length()));
        return valid ? Math.round(Double.parseDouble(seconds) * MICROS_PER_SECOND) : 0;
    }

    private static boolean isDigits(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }
}
