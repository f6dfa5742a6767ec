package org.ibissaddle.standins;

/**
 * Settings of a plain service stand-in.
 *
 * @param name the server name
 * @param port the port to listen on; 0 selects a free port
 */
public record ServiceOptions(String name, int port) {

    /** Returns settings with a free port. */
    public static ServiceOptions named(String name) {
        return new ServiceOptions(name, 0);
    }

    /** Returns a copy with another port. */
    public ServiceOptions withPort(int other) {
        return new ServiceOptions(name, other);
    }
}
