package gorsemast.proxy;

/** Whether the configuration that an edge holds is known to be the newest. */
enum ConfigurationStatus {
    /** There is no configuration. */
    ABSENT,
    /**
     * The edge has just received its first configuration. A synced registry will shortly confirm whether it is the
     * newest.
     */
    CHECKING,
    /**
     * No reachable registry confirms the configuration. Requests are served by it, but unknown routes are not
     * answered with 404.
     */
    UNCONFIRMED,
    /** The configuration has been confirmed by a registry. */
    CONFIRMED
}
