package org.ibissaddle.standins;

/**
 * Settings of a plain service stand-in.
 *
 * @param name the server's name
 * @param port the port to listen on; 0 takes a free one
 */
public record ServiceOptions(String name, int port) {

    /** Creates the settings of a service on a free port. */
    public static ServiceOptions named(String name) {
        return new ServiceOptions(name, 0);
    }

    /** Returns these settings with another port. */
    public ServiceOptions withPort(int other) {
        return new ServiceOptions(name, other);
    }
}
