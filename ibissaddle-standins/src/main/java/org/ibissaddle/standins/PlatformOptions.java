package org.ibissaddle.standins;

/**
 * Settings of a platform stand-in.
 *
 * @param name the stand-in's name
 * @param port the port to listen on; 0 takes a free one
 * @param instanceLagMs how old the instance list is
 */
public record PlatformOptions(String name, int port, long instanceLagMs) {

    /** Creates the settings of a platform on a free port, whose list has no lag. */
    public static PlatformOptions named(String name) {
        return new PlatformOptions(name, 0, 0);
    }

    /** Returns these settings with another port. */
    public PlatformOptions withPort(int other) {
        return new PlatformOptions(name, other, instanceLagMs);
    }

    /** Returns these settings with another lag of the instance list. */
    public PlatformOptions withInstanceLagMs(long other) {
        return new PlatformOptions(name, port, other);
    }
}
