package gorsemast.peer;

import gorsemast.node.Settings;
import java.net.InetSocketAddress;

/** Which of the ports between processes each program listens at, on every machine alike. */
public enum Ports {
    /** Links to a proxy. */
    PROXY(0),
    /** Links to a registry. */
    REGISTRY(1),
    /** Links to a store. */
    STORE(2),
    /** Objects, asked for by other proxies. */
    OBJECTS(3);

    private final int offset;

    Ports(int offset) {
        this.offset = offset;
    }

    /** Where it is on a machine. */
    public InetSocketAddress address(Settings settings, String ip) {
        return new InetSocketAddress(ip, Math.min(settings.firstPort() + offset, settings.lastPort()));
    }
}
