package org.ibissaddle.membership;

import java.util.List;
import org.ibissaddle.id.ServerId;

/** Input of a {@link ControlLoop}. */
public sealed interface ControlLoopEvent {
    /** Timer tick; delivered at least every {@link ControlLoop#TICK_MS}. */
    record Tick() implements ControlLoopEvent {}

    /** A peer answered a gossip message. */
    record Answered(Peer peer, Gossip answer) implements ControlLoopEvent {}

    /** A peer did not answer a message or request. */
    record Unanswered(Peer peer, PeerRequestType kind) implements ControlLoopEvent {}

    /** A backend server reported its load. */
    record Reported(ServerReport report) implements ControlLoopEvent {}

    /** A poll or a request could not reach a backend server. */
    record Unreachable(ServerId server) implements ControlLoopEvent {}

    /** A backend server refused a request because it is draining. */
    record ServerLeaving(ServerId server) implements ControlLoopEvent {}

    /** A configuration value was read. */
    record ValueRead(String name, long revision, String text) implements ControlLoopEvent {}

    /** A configuration value or the fleet list did not change before the deadline of the read. */
    record Unchanged(String name) implements ControlLoopEvent {}

    /** A configuration value or the fleet list could not be read, or does not exist. */
    record ReadFailed(String name) implements ControlLoopEvent {}

    /** The fleet list was read. */
    record ListRead(FleetList list) implements ControlLoopEvent {}

    /** A peer returned its release note. */
    record NoteAnswered(Peer peer, NoteRequest request, NoteAnswer answer) implements ControlLoopEvent {}

    /** A peer returned its fleet list. */
    record ListAnswered(Peer peer, ListRequest request, ListAnswer answer) implements ControlLoopEvent {}

    /** The local instance starts draining. */
    record Leave() implements ControlLoopEvent {}

    /** The local estimate of the load and spare capacity of the local region changed. */
    record Estimated(double load, double spare) implements ControlLoopEvent {}

    /** The demand of workspaces at the local instance changed. */
    record Demanded(List<LocalDemand> demands) implements ControlLoopEvent {
        /** Makes a defensive copy of the list. */
        public Demanded {
            demands = List.copyOf(demands);
        }
    }

    /** Type of a request to a peer. */
    enum PeerRequestType {
        /** Exchange of gossip messages. */
        EXCHANGE,
        /** Request for the release note. */
        NOTE,
        /** Request for the fleet list. */
        LIST
    }
}
