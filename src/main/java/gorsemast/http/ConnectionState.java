package gorsemast.http;

import java.util.Set;
import java.util.TreeSet;

/**
 * State machine of one connection to a server with at most one attempt on it: decides to which request a response
 * belongs, and whether an attempt may have run. No I/O, no clock, no threads; {@link UpstreamConnection} carries out
 * its decisions.
 *
 * <p>An attempt <em>may have run</em> from the moment at which its last byte may have left this process, or from the
 * first response of the server to it that does not say "not run". Only a complete response of its own ends an attempt
 * as answered; every other ending closes the connection, so that a late response reaches nobody. After unexpected
 * input a connection is <em>not reusable</em>: the attempt on it may still get its own response, but no later attempt
 * is assigned to it.
 */
public class ConnectionState {
    /** Maximum number of interim (1xx) responses before a response; an endless sequence of them is an error. */
    public static final int MAX_INTERIM = 16;

    /** A connection on which more at-most-once calls were refused is not reused, as their ids are kept in memory. */
    private static final int MAX_REFUSED_IDS = 32;

    /** How to handle a part of a response. */
    public enum Disposition {
        /** It belongs to the attempt on this connection. */
        OWN,
        /** An interim (1xx) response: ignored. */
        INTERIM,
        /** It belongs to no attempt on this connection: dropped. */
        SURPLUS,
        /** The connection is unusable: the attempt on it ends as lost, nothing more is read. */
        BROKEN
    }

    /** What to do at the end of a read. */
    public enum ReadOutcome {
        /** Wait for more input. */
        MORE,
        /** The response is complete: its attempt ends. */
        WHOLE,
        /** Unexpected bytes: the connection is closed. */
        CLOSE
    }

    private boolean occupied;
    private boolean lastByteSent;
    private boolean answeredEarly;
    private boolean streaming;
    private boolean answering;
    private boolean complete;
    private boolean notReusable;
    private boolean closed;
    private Disposition currentMessage;
    private int interimCount;
    private String requestId;
    private boolean used;
    private boolean atMostOnce;
    /**
     * Ids of at-most-once calls refused on this connection: a duplicate of the refusal would be taken for the
     * response to a retry.
     */
    private final Set<String> refusedIds = new TreeSet<>();

    /** Whether the connection can take an attempt. */
    public boolean isAvailable() {
        return !occupied && !streaming && !answering && !notReusable && !closed && currentMessage == null;
    }

    /**
     * Whether the connection can take this attempt: its call was not refused here, and an exclusive attempt needs an
     * unused connection.
     */
    public boolean canCarry(String id, boolean exclusive) {
        return isAvailable() && !(exclusive && used) && (id == null || !refusedIds.contains(id));
    }

    /**
     * Assigns an attempt, of which nothing has been sent yet.
     *
     * @param id by which responses identify the attempt; null where they carry no id
     * @param runsOnce whether its call may run at most once
     * @param exclusive whether its response may carry no id, so that nothing else may be sent on this connection
     */
    public void assign(String id, boolean runsOnce, boolean exclusive) {
        if (!canCarry(id, exclusive)) {
            throw new IllegalStateException("the connection cannot take this attempt");
        }
        requestId = id;
        atMostOnce = runsOnce;
        used = true;
        notReusable |= exclusive;
        occupied = true;
        lastByteSent = false;
        answeredEarly = false;
        interimCount = 0;
    }

    /** The last byte of the request is handed over: from here on the attempt may have run. */
    public void lastByteSent() {
        lastByteSent = true;
    }

    /** The system did not accept the last byte and never will: the connection is closed. */
    public void lastByteNotSent() {
        lastByteSent = false;
    }

    /** Whether the attempt may have run if it ends now without a response. */
    public boolean mayHaveRun() {
        return lastByteSent || answeredEarly;
    }

    /**
     * Handles the head of a response.
     *
     * @param match to which request it belongs
     * @param interim whether it is a 1xx other than 101
     * @param notRun whether it says that its request has not run
     * @param served whether it says that the request ran successfully
     */
    public Disposition head(ResponseMatch match, boolean interim, boolean notRun, boolean served) {
        if (answering || closed) {
            notReusable = true; // a second response after a complete one
            return Disposition.SURPLUS;
        }
        if (!occupied) {
            return Disposition.BROKEN;
        }
        if (interim) {
            currentMessage = Disposition.INTERIM;
            return ++this.interimCount > MAX_INTERIM ? Disposition.BROKEN : currentMessage;
        }
        // Most likely the response to an earlier request.
        boolean earlierResponse = !lastByteSent && served && match == ResponseMatch.BY_POSITION;
        if (match == ResponseMatch.UNIDENTIFIED || earlierResponse) {
            answeredEarly |= match == ResponseMatch.UNIDENTIFIED && !notRun;
            return Disposition.BROKEN;
        }
        if (match == ResponseMatch.OTHER_REQUEST) {
            notReusable = true;
            currentMessage = Disposition.SURPLUS;
            return currentMessage;
        }
        if (!lastByteSent) {
            notReusable = true; // answered before the request was sent completely: the withheld byte is never sent
            answeredEarly = !notRun;
        }
        if (notRun && atMostOnce && requestId != null) {
            refusedIds.add(requestId);
            notReusable |= refusedIds.size() > MAX_REFUSED_IDS;
        }
        answering = true;
        currentMessage = Disposition.OWN;
        return currentMessage;
    }

    /** Handles a part of a response's body, or its end. */
    public Disposition part(boolean last) {
        Disposition now = currentMessage;
        if (now == null || complete || closed) {
            notReusable = true;
            return Disposition.SURPLUS;
        }
        if (last) {
            complete = now == Disposition.OWN;
            currentMessage = null;
        }
        return now;
    }

    /** The attempt ends as answered with its head; the body is streamed from here on. */
    public void startStreaming() {
        occupied = false;
        streaming = true;
    }

    /** Whether a response has started, also a streamed one, that is not completed. */
    public boolean isAnswering() {
        return answering;
    }

    /** Whether the response has arrived completely. */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Handles the end of a read.
     *
     * @param rest whether bytes of a further message have arrived
     */
    public ReadOutcome readDone(boolean rest) {
        if (complete) {
            notReusable |= rest;
            return ReadOutcome.WHOLE;
        }
        if (rest && !occupied && !streaming) {
            notReusable = true;
            return ReadOutcome.CLOSE;
        }
        return ReadOutcome.MORE;
    }

    /**
     * The attempt ends with its complete response, or a streamed response has ended.
     *
     * @param keepAlive whether the server keeps the connection open
     * @return whether the connection may be reused; else it is closed
     */
    public boolean completed(boolean keepAlive) {
        boolean reusable = complete && !notReusable && !closed && keepAlive;
        occupied = false;
        streaming = false;
        answering = false;
        complete = false;
        closed |= !reusable;
        return reusable;
    }

    /**
     * The attempt ends in any other way, or a streamed response is cancelled. Returns whether the connection may be
     * reused.
     */
    public boolean abandoned() {
        occupied = false;
        streaming = false;
        answering = false;
        complete = false;
        closed = true;
        return false;
    }

    /** The response can't be decoded; it is invalid even if it looks complete. */
    public void unreadable() {
        complete = false;
        closed = true;
    }

    /** The connection has been closed. A response that was complete by then is valid. */
    public void connectionClosed() {
        closed = true;
    }

    /** The whole state, as a key for model checking. */
    @Override
    public String toString() {
        return "" + refusedIds + (occupied ? requestId : "") + occupied + lastByteSent + answeredEarly + streaming
                + answering + complete + notReusable + closed + currentMessage + interimCount;
    }
}
