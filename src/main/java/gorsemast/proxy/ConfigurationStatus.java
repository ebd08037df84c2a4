package gorsemast.proxy;

/** What an edge knows of whether the configuration that it holds is the newest. */
enum ConfigurationStatus {
    /** It holds none. */
    ABSENT,
    /** It has just started and holds one; a registry that vouches will say in a moment whether that is the newest. */
    CHECKING,
    /** No registry that it reaches vouches. Requests go by what it holds, and nothing is said not to be there. */
    UNCONFIRMED,
    /** It has held what a registry vouched for. */
    CONFIRMED
}
