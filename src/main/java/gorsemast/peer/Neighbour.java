package gorsemast.peer;

/** A connected process of the system; used on the thread of the process that holds it. */
public interface Neighbour {
    /** Returns its identity. */
    PeerMessage.Hello hello();

    /** Sends a message, which is lost if the link ends before it arrives. */
    void send(PeerMessage record);
}
