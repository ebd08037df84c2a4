package gorsemast.proxy;

import anisebend.Balancer.Code;
import gorsemast.http.Dialect;
import gorsemast.http.ResponseMatch;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The protocol by which edges request objects from each other. Each request carries an id, which its response
 * repeats. A response without one comes from a process that is no home edge (another machine may have taken over the
 * address); one with a different id belongs to no request of this edge.
 */
final class HomeDialect implements Dialect {
    /** Response header: age of the cached response in microseconds. */
    static final String AGE_HEADER = "Home-Age";

    static final String TTL_HEADER = "Home-Life";
    static final String PURGE_DIGEST_HEADER = "Home-Step";
    static final String TIME_LEFT_HEADER = "Home-Budget";
    static final String HOP_HEADER = "Home-Hop";
    /** On a 503 of the home edge: it is still fetching the object. */
    static final String STILL_FETCHING_HEADER = "Home-In-Hand";

    static final int CONFLICT = 409;

    /** Identifies a request and its response. */
    static final String REQUEST_ID_HEADER = "Home-Call";

    private static final int INTERNAL_SERVER_ERROR = 500;

    @Override
    public Code code(HttpResponse answer) {
        return answer.status().code() >= INTERNAL_SERVER_ERROR ? Code.ERROR : Code.OK;
    }

    @Override
    public ResponseMatch match(HttpRequest request, HttpResponse answer) {
        String id = answer.headers().get(REQUEST_ID_HEADER);
        return id == null
                ? ResponseMatch.UNIDENTIFIED
                : id.equals(request.headers().get(REQUEST_ID_HEADER))
                        ? ResponseMatch.BY_ID
                        : ResponseMatch.OTHER_REQUEST;
    }
}
