package org.ibissaddle.membership;

import java.util.List;
import org.ibissaddle.id.ServerId;

/** Something that happened, told to a {@link ControlLoop}. */
public sealed interface Event {
    /** Time has passed; sent at least every {@link ControlLoop#TICK_MS}. */
    record Tick() implements Event {}

    /** A peer answered a message. */
    record Answered(Peer peer, Gossip answer) implements Event {}

    /** A peer did not answer a message or question. */
    record Unanswered(Peer peer, Kind kind) implements Event {}

    /** A server told its load. */
    record Reported(ServerReport report) implements Event {}

    /** A server could not be reached, by a poll or by a request. */
    record Unreachable(ServerId server) implements Event {}

    /** A server refused a request because it leaves. */
    record ServerLeaving(ServerId server) implements Event {}

    /** A value was read. */
    record ValueRead(String name, long revision, String text) implements Event {}

    /** A value or the list did not change before the read ended. */
    record Unchanged(String name) implements Event {}

    /** A value or the list could not be read, or does not exist. */
    record ReadFailed(String name) implements Event {}

    /** The list was read. */
    record ListRead(FleetList list) implements Event {}

    /** A peer sent its note. */
    record NoteAnswered(Peer peer, NoteRequest request, NoteAnswer answer) implements Event {}

    /** A peer sent its list. */
    record ListAnswered(Peer peer, ListRequest request, ListAnswer answer) implements Event {}

    /** The instance starts to leave. */
    record Leave() implements Event {}

    /** The own estimate of the own region changed. */
    record Estimated(double load, double spare) implements Event {}

    /** The demands of workspaces at the own instance changed. */
    record Demanded(List<OwnDemand> demands) implements Event {
        /** Copies the list. */
        public Demanded {
            demands = List.copyOf(demands);
        }
    }

    /** What a peer was asked for. */
    enum Kind {
        /** An exchange of messages. */
        EXCHANGE,
        /** Its note. */
        NOTE,
        /** Its list. */
        LIST
    }
}
