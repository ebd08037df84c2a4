package gorsemast.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses in numbers, as there may be no DNS and a look-up would block. No state; any thread. */
public final class Address {
    private Address() {}

    /** The address in {@code host:port}; null where that is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            return ip == null
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | UnknownHostException e) {
            return null;
        }
    }
}
