package gorsemast.peer;

import gorsemast.node.Settings;
import java.net.InetSocketAddress;

/** The internal port on which each program listens, the same on every machine. */
public enum Ports {
    /** For links to a proxy. */
    PROXY(0),
    /** For links to a registry. */
    REGISTRY(1),
    /** For links to a store. */
    STORE(2),
    /** For object requests of other proxies. */
    OBJECTS(3);

    private final int offset;

    Ports(int offset) {
        this.offset = offset;
    }

    /** Returns its address on a machine. */
    public InetSocketAddress address(Settings settings, String ip) {
        return new InetSocketAddress(ip, Math.min(settings.firstPort() + offset, settings.lastPort()));
    }
}
