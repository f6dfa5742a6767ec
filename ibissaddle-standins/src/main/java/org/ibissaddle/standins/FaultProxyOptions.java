package org.ibissaddle.standins;

/**
 * Settings of a fault-injecting proxy.
 *
 * @param name the proxy name
 * @param controlPort the port of the HTTP control interface; 0 selects a free port
 */
public record FaultProxyOptions(String name, int controlPort) {

    /** Returns settings with a free control port. */
    public static FaultProxyOptions named(String name) {
        return new FaultProxyOptions(name, 0);
    }

    /** Returns a copy with another control port. */
    public FaultProxyOptions withControlPort(int other) {
        return new FaultProxyOptions(name, other);
    }
}
