package org.ibissaddle.standins.internal.proxy;

import org.ibissaddle.standins.LinkStats;

/** Counts what a link does; used on the proxy's event loop only. */
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
