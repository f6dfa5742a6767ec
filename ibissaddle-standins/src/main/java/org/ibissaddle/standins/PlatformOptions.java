package org.ibissaddle.standins;

/**
 * Settings of a platform stand-in.
 *
 * @param name the name of the stand-in
 * @param port the port to listen on; 0 selects a free port
 * @param instanceLagMs the age of the served instance list
 */
public record PlatformOptions(String name, int port, long instanceLagMs) {

    /** Returns settings with a free port and no lag of the instance list. */
    public static PlatformOptions named(String name) {
        return new PlatformOptions(name, 0, 0);
    }

    /** Returns a copy with another port. */
    public PlatformOptions withPort(int other) {
        return new PlatformOptions(name, other, instanceLagMs);
    }

    /** Returns a copy with another lag of the instance list. */
    public PlatformOptions withInstanceLagMs(long other) {
        return new PlatformOptions(name, port, other);
    }
}
