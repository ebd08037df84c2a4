package gorsemast.peer;

/** Another process of the system, for as long as it is reached; on its holder's thread. */
public interface Neighbour {
    /** Who it is. */
    PeerMessage.Hello hello();

    /** Sends a record; it is lost where it is reached no more before that has arrived. */
    void send(PeerMessage record);
}
