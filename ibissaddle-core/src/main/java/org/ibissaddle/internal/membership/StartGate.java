package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.Peer;

/**
 * Holds a starting instance back until it has asked the platform and its peers which note is the newest, so that it
 * never serves under an older note than one that a peer it reaches could tell it.
 */
final class StartGate {
    private static final int MAX_PEERS = 64;
    private static final int AT_ONCE = 8;

    private final Set<Address> asked = new HashSet<>();
    private final Set<Address> open = new HashSet<>();
    private boolean passed;

    /** Chooses peers that were not asked yet. */
    List<Peer> ask(List<Peer> known, Address self) {
        List<Peer> chosen = new ArrayList<>();
        for (Peer peer : known) {
            boolean room = open.size() < AT_ONCE && asked.size() < MAX_PEERS;
            if (room && !peer.control().equals(self) && asked.add(peer.control())) {
                open.add(peer.control());
                chosen.add(peer);
            }
        }
        return chosen;
    }

    void resolved(Peer peer) {
        open.remove(peer.control());
    }

    /** Opens for good once the platform and all peers have been asked and the note held is not behind. */
    boolean passes(boolean platformAsked, boolean peersLeft, boolean holdsNewest) {
        passed |= platformAsked && !peersLeft && open.isEmpty() && holdsNewest;
        return passed;
    }

    boolean passed() {
        return passed;
    }

    boolean full() {
        return asked.size() >= MAX_PEERS;
    }

    boolean wasAsked(Peer peer) {
        return asked.contains(peer.control());
    }
}
