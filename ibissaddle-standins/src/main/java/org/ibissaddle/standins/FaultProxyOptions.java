package org.ibissaddle.standins;

/**
 * Settings of a fault-injecting proxy.
 *
 * @param name the proxy's name
 * @param controlPort the port of its HTTP control; 0 takes a free one
 */
public record FaultProxyOptions(String name, int controlPort) {

    /** Creates the settings of a proxy with a free control port. */
    public static FaultProxyOptions named(String name) {
        return new FaultProxyOptions(name, 0);
    }

    /** Returns these settings with another control port. */
    public FaultProxyOptions withControlPort(int other) {
        return new FaultProxyOptions(name, other);
    }
}
