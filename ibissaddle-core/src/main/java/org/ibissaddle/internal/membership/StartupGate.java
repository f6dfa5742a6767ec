package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.Peer;

/**
 * Keeps a starting instance from becoming ready until it has queried the platform and its peers for the newest note, so
 * that it never serves with an older note than one held by a peer it can reach.
 */
final class StartupGate {
    private static final int MAX_PEERS = 64;
    private static final int MAX_CONCURRENT_REQUESTS = 8;

    private final Set<Address> queried = new HashSet<>();
    private final Set<Address> pending = new HashSet<>();
    private boolean passed;

    /** Returns the next peers to query, within the limit of concurrent requests, and marks them as queried. */
    List<Peer> nextPeers(List<Peer> known, Address self) {
        List<Peer> chosen = new ArrayList<>();
        for (Peer peer : known) {
            boolean hasCapacity = pending.size() < MAX_CONCURRENT_REQUESTS && queried.size() < MAX_PEERS;
            if (hasCapacity && !peer.control().equals(self) && queried.add(peer.control())) {
                pending.add(peer.control());
                chosen.add(peer);
            }
        }
        return chosen;
    }

    void completed(Peer peer) {
        pending.remove(peer.control());
    }

    /**
     * Opens the gate permanently once the platform and all peers have been queried and the local note is up to date.
     */
    boolean update(boolean platformQueried, boolean peersLeft, boolean holdsNewest) {
        passed |= platformQueried && !peersLeft && pending.isEmpty() && holdsNewest;
        return passed;
    }

    boolean passed() {
        return passed;
    }

    boolean peerLimitReached() {
        return queried.size() >= MAX_PEERS;
    }

    boolean wasQueried(Peer peer) {
        return queried.contains(peer.control());
    }
}
