package gorsemast.proxy;

import anisebend.Balancer.Code;
import gorsemast.http.Dialect;
import gorsemast.http.Whose;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What edges say to each other about objects: each question carries a number of its own, which its answer carries back.
 * An answer without one comes from no home (whoever else has that address now), one with another belongs to nobody here.
 */
final class HomeDialect implements Dialect {
    /** The number of a question. */
    static final String CALL = "Home-Call";

    private static final int FAILED = 500;

    @Override
    public Code code(HttpResponse answer) {
        return answer.status().code() >= FAILED ? Code.ERROR : Code.OK;
    }

    @Override
    public Whose whose(HttpRequest request, HttpResponse answer) {
        String told = answer.headers().get(CALL);
        return told == null ? Whose.NOBODY : told.equals(request.headers().get(CALL)) ? Whose.NAMED : Whose.OTHER;
    }
}
