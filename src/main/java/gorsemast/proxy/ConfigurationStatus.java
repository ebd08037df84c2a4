package gorsemast.proxy;

/** Whether the configuration that an edge holds is known to be the newest. */
public enum ConfigurationStatus {
    /** There is no configuration. */
    ABSENT,
    /**
     * The edge has just received its first configuration, or has just resumed after it stood still. A synced registry
     * will shortly confirm whether its state is the newest. Until then no request is served.
     */
    CHECKING,
    /**
     * No registry has confirmed the configuration recently. Requests are served by it, but unknown routes are not
     * answered with 404.
     */
    UNCONFIRMED,
    /** The configuration includes all that must be in force, as a registry has confirmed. */
    CONFIRMED
}
