package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** The conventions above HTTP between this process and its servers. */
public interface Dialect {
    /** The outcome of an attempt according to its response. */
    Code code(HttpResponse answer);

    /** What a response says about fetches of other requests. */
    default CacheStatus cacheStatus(HttpResponse answer) {
        return CacheStatus.NONE;
    }

    /** To which request a response belongs, given the request in progress on its connection. */
    default ResponseMatch match(HttpRequest request, HttpResponse answer) {
        return ResponseMatch.BY_POSITION;
    }

    /** The id by which responses identify this request; null where they carry none. */
    default String requestId(HttpRequest request) {
        return null;
    }

    /**
     * Whether the response may lack an id that other responses of this dialect carry. It then belongs to its request
     * by position, which is certain only on a connection that carries nothing else before or after.
     */
    default boolean needsExclusiveConnection(HttpRequest request) {
        return false;
    }

    /**
     * For how long the server keeps the connection open after this response, in milliseconds; -1 where it doesn't
     * say.
     */
    default long keepAliveMillis(HttpResponse answer) {
        return -1;
    }

    /**
     * Whether servers may drop an idle connection earlier than they say. Requests that may run only once then use the
     * connection that was used last, and withhold their last byte even without a body.
     */
    default boolean mayDropIdleEarly() {
        return false;
    }
}
