package gorsemast.http;

import java.util.Set;
import java.util.TreeSet;

/**
 * Whose is this answer, and may this attempt have run: the rule for one connection to a server, with one attempt on it at
 * a time. Events in, verdicts out; no I/O, no clock, no threads. {@link UpstreamConnection} carries it out.
 *
 * <p>An attempt <em>may have run</em> from the moment at which its last byte may have left this process, or from the
 * first word of its server on it that is not "not run". Only a whole answer that is its own ends an attempt as answered;
 * every other ending closes the connection, so that what comes late reaches nobody. A connection on which anything came
 * that was not due is <em>spoilt</em>: the attempt on it may yet get its own answer, no later one is put on it.
 */
public class ConnectionState {
    /** So many 1xx may come ahead of an answer; an endless row of them is none. */
    public static final int MAX_INTERIM = 16;

    /** A connection that has turned away more of what may run once is not used again, as their names are kept. */
    private static final int MAX_TURNED_AWAY = 32;

    /** What is to be done with a part of an answer. */
    public enum Disposition {
        /** It is the answer to the attempt on this connection. */
        OWN,
        /** A 1xx ahead of it: skipped. */
        INTERIM,
        /** It belongs to no attempt here: dropped. */
        SURPLUS,
        /** The connection is of no use any more: the attempt on it ends as lost, nothing more is read. */
        BROKEN
    }

    /** What follows from the end of a read. */
    public enum ReadOutcome {
        /** Nothing yet. */
        MORE,
        /** The answer is whole: its attempt ends with it. */
        WHOLE,
        /** Bytes that belong to nothing: the connection is closed. */
        CLOSE
    }

    private boolean carries;
    private boolean left;
    private boolean early;
    private boolean passing;
    private boolean answering;
    private boolean whole;
    private boolean spoilt;
    private boolean closed;
    private Disposition reading;
    private int interim;
    private String name;
    private boolean used;
    private boolean once;
    /** Names of what may run once and was turned away here: a second copy of that word would say so of another try. */
    private final Set<String> turnedAway = new TreeSet<>();

    /** Whether the next attempt may be put on it. */
    public boolean isAvailable() {
        return !carries && !passing && !answering && !spoilt && !closed && reading == null;
    }

    /** Whether the attempt with this name may be: its call was not turned away here, and it has it alone where it must. */
    public boolean canCarry(String called, boolean alone) {
        return isAvailable() && !(alone && used) && (called == null || !turnedAway.contains(called));
    }

    /**
     * An attempt is put on it; nothing of it has left yet.
     *
     * @param called what its answers name it by; null where they name nothing
     * @param runsOnce whether its call may run once at most
     * @param alone whether its answer may name nothing, so that nothing else may be asked on this connection
     */
    public void carry(String called, boolean runsOnce, boolean alone) {
        if (!canCarry(called, alone)) {
            throw new IllegalStateException("this connection is not free");
        }
        name = called;
        once = runsOnce;
        used = true;
        spoilt |= alone;
        carries = true;
        left = false;
        early = false;
        interim = 0;
    }

    /** The last byte of its request is handed over: from here on it may have run. */
    public void lastByteSent() {
        left = true;
    }

    /** The system did not take it after all, and never will: the connection is closed. */
    public void lastByteNotSent() {
        left = false;
    }

    /** Whether the attempt on it may have run, where it ends now without a word of its server. */
    public boolean mayHaveRun() {
        return left || early;
    }

    /**
     * The head of an answer.
     *
     * @param interim whether it is a 1xx, but for 101
     * @param notRun whether it says that its request has not run
     * @param served whether it says that it has, with success
     */
    public Disposition head(ResponseMatch whose, boolean interim, boolean notRun, boolean served) {
        if (answering || closed) {
            spoilt = true; // a second answer behind a whole one
            return Disposition.SURPLUS;
        }
        if (!carries) {
            return Disposition.BROKEN;
        }
        if (interim) {
            reading = Disposition.INTERIM;
            return ++this.interim > MAX_INTERIM ? Disposition.BROKEN : reading;
        }
        boolean another =
                !left && served && whose == ResponseMatch.BY_POSITION; // to what was asked here before, most likely
        if (whose == ResponseMatch.UNIDENTIFIED || another) {
            early |= whose == ResponseMatch.UNIDENTIFIED && !notRun;
            return Disposition.BROKEN;
        }
        if (whose == ResponseMatch.OTHER_REQUEST) {
            spoilt = true;
            reading = Disposition.SURPLUS;
            return reading;
        }
        if (!left) {
            spoilt = true; // answered before all of the request was read: what is withheld is never sent
            early = !notRun;
        }
        if (notRun && once && name != null) {
            turnedAway.add(name);
            spoilt |= turnedAway.size() > MAX_TURNED_AWAY;
        }
        answering = true;
        reading = Disposition.OWN;
        return reading;
    }

    /** Some of an answer's body, or its end. */
    public Disposition part(boolean last) {
        Disposition now = reading;
        if (now == null || whole || closed) {
            spoilt = true;
            return Disposition.SURPLUS;
        }
        if (last) {
            whole = now == Disposition.OWN;
            reading = null;
        }
        return now;
    }

    /** The attempt ends with its head as answered; the rest is passed on from here as it comes. */
    public void startStreaming() {
        carries = false;
        passing = true;
    }

    /** Whether an answer of the attempt, or that is being passed on, has begun and is not concluded. */
    public boolean isAnswering() {
        return answering;
    }

    /** Whether all of it has come. */
    public boolean isWhole() {
        return whole;
    }

    /**
     * All that came at once has been read.
     *
     * @param rest whether bytes of a further message have come
     */
    public ReadOutcome readDone(boolean rest) {
        if (whole) {
            spoilt |= rest;
            return ReadOutcome.WHOLE;
        }
        if (rest && !carries && !passing) {
            spoilt = true;
            return ReadOutcome.CLOSE;
        }
        return ReadOutcome.MORE;
    }

    /**
     * The attempt ends with its whole answer, or what was passed on has ended.
     *
     * @param keeps whether the server keeps the connection
     * @return whether it may be used again; else it is closed
     */
    public boolean completed(boolean keeps) {
        boolean again = whole && !spoilt && !closed && keeps;
        carries = false;
        passing = false;
        answering = false;
        whole = false;
        closed |= !again;
        return again;
    }

    /** The attempt ends in any other way, or nobody wants what is passed on. Returns whether it may be used again. */
    public boolean abandoned() {
        carries = false;
        passing = false;
        answering = false;
        whole = false;
        closed = true;
        return false;
    }

    /** What has come of its answer can't be read: it is none, though it may look whole. */
    public void unreadable() {
        whole = false;
        closed = true;
    }

    /** It has ended. What was whole by then counts. */
    public void connectionClosed() {
        closed = true;
    }

    /** All that it goes by, for a model's table of states. */
    @Override
    public String toString() {
        return "" + turnedAway + (carries ? name : "") + carries + left + early + passing + answering + whole + spoilt
                + closed + reading + interim;
    }
}
