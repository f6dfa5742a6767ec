package org.ibissaddle.standins.internal.proxy;

import org.ibissaddle.standins.LinkStats;

/** Connection and byte counts of a link. Confined to the event loop of the proxy. */
final class LinkCounters {
    long connections;
    long open;
    long refused;
    long resets;
    long duplicates;
    long bytesToServer;
    long bytesToClient;

    LinkStats snapshot() {
        return new LinkStats(connections, open, refused, resets, duplicates, bytesToServer, bytesToClient);
    }
}
