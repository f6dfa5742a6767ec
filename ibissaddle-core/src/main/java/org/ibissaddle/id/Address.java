package org.ibissaddle.id;

import java.util.regex.Pattern;

/**
 * An IP address and TCP port. Host names are rejected because ibissaddle does no DNS lookups.
 *
 * @param host IPv4 address, or IPv6 address in brackets
 * @param port TCP port, 0 to 65535; 0 lets the operating system choose a port to listen on
 */
public record Address(String host, int port) {
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9A-Fa-f:.]{2,45}]");
    private static final int MAX_PORT = 65_535;

    /** Validates that the host is an IP address and that the port is in range. */
    public Address {
        boolean isIpAddress = IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
        if (!isIpAddress || port < 0 || port > MAX_PORT) {
            throw new InvalidIdentifierException("address", host + ":" + port);
        }
    }

    /**
     * Parses text of the form {@code ip:port}.
     *
     * @param text the text to parse
     * @return the address
     * @throws InvalidIdentifierException if the text is not an IP address and a port
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new InvalidIdentifierException("address", text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new InvalidIdentifierException("address", text);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
