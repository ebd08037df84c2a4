package gorsemast.http;

/** To which request an answer belongs, as far as it tells. */
public enum ResponseMatch {
    /** It names the request that is out on its connection. */
    BY_ID,
    /** It names none, as this dialect has no names: it belongs to the request that is out by its place alone. */
    BY_POSITION,
    /** It names another request: a surplus answer in the place of the one that is due. */
    OTHER_REQUEST,
    /** It should say whose it is, or be stamped, and doesn't: no answer in the protocol, and nothing behind it counts. */
    UNIDENTIFIED
}
