package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** What the two sides of a connection to a server say to each other above HTTP. */
public interface Dialect {
    /** What an answer says of its attempt. */
    Code code(HttpResponse answer);

    /** What it says of other fetches. */
    default CacheStatus note(HttpResponse answer) {
        return CacheStatus.NONE;
    }

    /** Whose it is, where this request is out on its connection. */
    default ResponseMatch match(HttpRequest request, HttpResponse answer) {
        return ResponseMatch.BY_POSITION;
    }

    /** What answers name this request by; null where they name nothing. */
    default String requestId(HttpRequest request) {
        return null;
    }

    /**
     * Whether its answer may name nothing, where others of this dialect do: it belongs to its request by place, which is
     * certain only on a connection that carries nothing else, before or after.
     */
    default boolean needsExclusiveConnection(HttpRequest request) {
        return false;
    }

    /** For how long its server keeps the connection idle behind it, in milliseconds; -1 where it does not say. */
    default long keepAliveMillis(HttpResponse answer) {
        return -1;
    }

    /**
     * Whether servers may forget an idle connection sooner than they say: what may run once then goes on the connection
     * that was used last, and keeps its last byte back also where it has no body.
     */
    default boolean mayDropIdleEarly() {
        return false;
    }
}
