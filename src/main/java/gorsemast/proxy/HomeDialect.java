package gorsemast.proxy;

import anisebend.Balancer.Code;
import gorsemast.http.Dialect;
import gorsemast.http.ResponseMatch;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What edges say to each other about objects: each question carries a number of its own, which its answer carries back.
 * An answer without one comes from no home (whoever else has that address now), one with another belongs to nobody here.
 */
final class HomeDialect implements Dialect {
    /** What a home adds to its answers: how old the copy is, for how long it may be held, and whether it may be at all. */
    static final String AGE = "Home-Age";

    static final String LIFE = "Home-Life";
    static final String STEP = "Home-Step";
    static final String LEFT = "Home-Budget";
    static final String HOP = "Home-Hop";
    /** On a home's 503: it is still fetching the object. */
    static final String IN_HAND = "Home-In-Hand";

    static final int OUT_OF_STEP = 409;

    /** The number of a question. */
    static final String CALL = "Home-Call";

    private static final int FAILED = 500;

    @Override
    public Code code(HttpResponse answer) {
        return answer.status().code() >= FAILED ? Code.ERROR : Code.OK;
    }

    @Override
    public ResponseMatch match(HttpRequest request, HttpResponse answer) {
        String told = answer.headers().get(CALL);
        return told == null
                ? ResponseMatch.UNIDENTIFIED
                : told.equals(request.headers().get(CALL)) ? ResponseMatch.BY_ID : ResponseMatch.OTHER_REQUEST;
    }
}
