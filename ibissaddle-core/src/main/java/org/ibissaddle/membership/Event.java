package org.ibissaddle.membership;

import java.util.List;
import org.ibissaddle.id.ServerId;

/** Input of a {@link ControlLoop}. */
public sealed interface Event {
    /** Timer tick; delivered at least every {@link ControlLoop#TICK_MS}. */
    record Tick() implements Event {}

    /** A peer answered a gossip message. */
    record Answered(Peer peer, Gossip answer) implements Event {}

    /** A peer did not answer a message or request. */
    record Unanswered(Peer peer, Kind kind) implements Event {}

    /** A backend server reported its load. */
    record Reported(ServerReport report) implements Event {}

    /** A poll or a request could not reach a backend server. */
    record Unreachable(ServerId server) implements Event {}

    /** A backend server refused a request because it is draining. */
    record ServerLeaving(ServerId server) implements Event {}

    /** A configuration value was read. */
    record ValueRead(String name, long revision, String text) implements Event {}

    /** A configuration value or the fleet list did not change before the deadline of the read. */
    record Unchanged(String name) implements Event {}

    /** A configuration value or the fleet list could not be read, or does not exist. */
    record ReadFailed(String name) implements Event {}

    /** The fleet list was read. */
    record ListRead(FleetList list) implements Event {}

    /** A peer returned its release note. */
    record NoteAnswered(Peer peer, NoteRequest request, NoteAnswer answer) implements Event {}

    /** A peer returned its fleet list. */
    record ListAnswered(Peer peer, ListRequest request, ListAnswer answer) implements Event {}

    /** The local instance starts draining. */
    record Leave() implements Event {}

    /** The local estimate of the load and spare capacity of the local region changed. */
    record Estimated(double load, double spare) implements Event {}

    /** The demand of workspaces at the local instance changed. */
    record Demanded(List<OwnDemand> demands) implements Event {
        /** Makes a defensive copy of the list. */
        public Demanded {
            demands = List.copyOf(demands);
        }
    }

    /** Type of a request to a peer. */
    enum Kind {
        /** Exchange of gossip messages. */
        EXCHANGE,
        /** Request for the release note. */
        NOTE,
        /** Request for the fleet list. */
        LIST
    }
}
