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
 * Strict reading of a request's head. It is judged before anything is kept for it, so that bad requests are
 * cheap; whatever could be read in two ways is refused, as the other side might read it in the other.
 */
final class RequestHead {
    static final int MAX_BODY = 32 << 20;
    /** Up to here a body is kept without asking for room. */
    static final int SHORT_BODY = 64 << 10;

    static final String READY = "/health/ready";
    private static final String API = "/api/";
    private static final int MAX_ID = 256;
    private static final int MAX_NUMBER = 12;
    /** A wait past the class's deadline by more than this part only holds memory. */
    private static final long OVER_PART = 8;

    private static final double MICROS = 1e6;

    /** What is wrong with it, null for nothing. */
    final HttpResponseStatus problem;
    /** Whether it is plain where the message ends, so that another may follow. */
    final boolean framed;

    String id;
    String idempotencyKey;
    String key;
    int requestClass;
    int tenant;
    long waitMicros;
    /** How long its body is, -1 where only its end will tell. */
    long length;
    /** Whether the client says that it has asked before. */
    boolean repeat;

    /** Reads a head that asks for the API or readiness. */
    RequestHead(HttpRequest request, ProxyConfig config) {
        HttpHeaders headers = request.headers();
        HttpResponseStatus framing = framing(request, headers);
        framed = framing == null
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        problem = framing != null ? framing : meaning(request, headers, config);
    }

    /** Nothing but one plain length, or plain chunks, may say where the message ends. */
    private static HttpResponseStatus framing(HttpRequest request, HttpHeaders headers) {
        if (request.decoderResult().isFailure()
                || !HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                        && !HttpVersion.HTTP_1_0.equals(request.protocolVersion())) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (lengths.size() == 1) {
            String length = lengths.get(0);
            if (length.isEmpty() || !digits(length, 0, length.length())) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            if (length.length() > MAX_NUMBER || Long.parseLong(length) > MAX_BODY) {
                return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            }
        }
        return null;
    }

    private HttpResponseStatus meaning(HttpRequest request, HttpHeaders headers, ProxyConfig config) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpMethod method = request.method();
        if (path.equals(READY)) {
            return method.equals(HttpMethod.GET) ? null : HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        if (!path.startsWith(API)) {
            return HttpResponseStatus.NOT_FOUND;
        }
        boolean read = method.equals(HttpMethod.GET);
        if (!read && !method.equals(HttpMethod.PUT)) {
            return HttpResponseStatus.METHOD_NOT_ALLOWED;
        }
        id = single(headers, "X-Correlation-Id");
        idempotencyKey = single(headers, "Idempotency-Key");
        requestClass = config.classes().number(single(headers, "X-Service-Class"));
        tenant = config.names().tenants().isEmpty() ? 0 : index(config.names().tenants(), single(headers, "X-Account"));
        waitMicros = micros(single(headers, "X-Time-Left"));
        // A body of a read would have to be passed on, and has no meaning.
        if (id == null
                || id.isEmpty()
                || id.length() > MAX_ID
                || requestClass < 0
                || tenant < 0
                || waitMicros <= 0
                || headers.getAll("Idempotency-Key").size() > 1
                || read && !framed && !"0".equals(headers.get(HttpHeaderNames.CONTENT_LENGTH))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        long deadline = config.settings().classes().get(requestClass).deadline();
        waitMicros = Math.min(waitMicros, deadline + deadline / OVER_PART);
        String told = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        length = told != null ? Long.parseLong(told) : headers.contains(HttpHeaderNames.TRANSFER_ENCODING) ? -1 : 0;
        repeat = "1".equals(headers.get("X-Repeat"));
        key = path.substring(path.lastIndexOf('/') + 1);
        return null;
    }

    /** A header's value; null where it is missing or given twice. */
    private static String single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0) : null;
    }

    /** Where a word stands, -1 also for none: immutable lists throw when asked for null. */
    private static int index(List<String> names, String word) {
        return word == null ? -1 : names.indexOf(word);
    }

    /** Seconds in plain decimals as microseconds; 0 for what is no such number. */
    private static long micros(String seconds) {
        if (seconds == null || seconds.isEmpty() || seconds.length() > MAX_NUMBER) {
            return 0;
        }
        int point = seconds.indexOf('.');
        int whole = point < 0 ? seconds.length() : point;
        boolean plain = whole > 0
                && digits(seconds, 0, whole)
                && (point < 0 || point + 1 < seconds.length() && digits(seconds, point + 1, seconds.length()));
        return plain ? Math.round(Double.parseDouble(seconds) * MICROS) : 0;
    }

    private static boolean digits(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }
}
