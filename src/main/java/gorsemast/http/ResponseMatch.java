package gorsemast.http;

/** To which request a response belongs. */
public enum ResponseMatch {
    /** It carries the id of the request in progress on its connection. */
    BY_ID,
    /** The dialect has no ids: it belongs to the request in progress by its position alone. */
    BY_POSITION,
    /** It carries the id of another request: a surplus response in place of the expected one. */
    OTHER_REQUEST,
    /** It lacks a required id or mark: it is no valid response, and nothing after it is accepted. */
    UNIDENTIFIED
}
