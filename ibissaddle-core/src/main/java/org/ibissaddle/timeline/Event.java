package org.ibissaddle.timeline;

import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.RefusalType;

/** What happened at an instance. No event carries content of a request or an answer. */
public sealed interface Event {
    /** The instance started. */
    record Started() implements Event {}

    /** The instance began to leave. */
    record Draining() implements Event {}

    /**
     * A release note came into force.
     *
     * @param number number of the note
     * @param digest digest of its text
     */
    record NoteInForce(long number, String digest) implements Event {}

    /**
     * The belief about another instance or a backend server changed.
     *
     * @param member its name
     * @param health what is believed now
     */
    record HealthChanged(String member, Health health) implements Event {}

    /**
     * A request was taken in.
     *
     * @param workspace its workspace, empty when that is bound to a region: the name stays there
     * @param forwarded whether another instance sent it here
     */
    record Admitted(Optional<WorkspaceId> workspace, boolean forwarded) implements Event {}

    /**
     * A request was refused.
     *
     * @param type kind of the refusal
     * @param fate whether it ran
     */
    record Refused(RefusalType type, Fate fate) implements Event {}

    /**
     * A server was chosen for a request.
     *
     * @param server the server
     */
    record Placed(ServerId server) implements Event {}

    /**
     * A request is about to be handed to a server.
     *
     * @param server the server
     * @param attempt number of the attempt, from 0
     */
    record Dispatched(ServerId server, int attempt) implements Event {}

    /**
     * A request is about to be handed to another instance.
     *
     * @param to the instance
     * @param region its region
     */
    record Forwarded(InstanceId to, Region region) implements Event {}

    /** The first piece of the answer came. */
    record FirstToken() implements Event {}

    /**
     * A request is over.
     *
     * @param whole whether its answer was whole
     */
    record Ended(boolean whole) implements Event {}

    /**
     * Tells whether the event shows that something went wrong.
     *
     * @return whether it is a fault
     */
    default boolean fault() {
        return switch (this) {
            case Refused refused -> true;
            case Ended ended -> !ended.whole();
            case HealthChanged changed -> changed.health() == Health.SUSPECT || changed.health() == Health.DOWN;
            case Started started -> false;
            case Draining draining -> false;
            case NoteInForce note -> false;
            case Admitted admitted -> false;
            case Placed placed -> false;
            case Dispatched dispatched -> false;
            case Forwarded forwarded -> false;
            case FirstToken token -> false;
        };
    }

    /**
     * Returns the name of the kind of event.
     *
     * @return for example {@code first-token}
     */
    default String kind() {
        return Kind.of(getClass());
    }

    /**
     * Describes what belongs to the event.
     *
     * @return key=value pairs, empty when there are none
     */
    default String detail() {
        return switch (this) {
            case Started started -> "";
            case Draining draining -> "";
            case NoteInForce note -> "number=" + note.number();
            case HealthChanged changed ->
                "member=" + changed.member() + " health=" + changed.health().name();
            case Admitted admitted ->
                admitted.workspace().map(name -> "workspace=" + name + " ").orElse("") + "forwarded="
                        + admitted.forwarded();
            case Refused refused ->
                "type=" + refused.type().word() + " ran=" + refused.fate().word();
            case Placed placed -> "server=" + placed.server();
            case Dispatched dispatched -> "server=" + dispatched.server() + " attempt=" + dispatched.attempt();
            case Forwarded forwarded -> "to=" + forwarded.to() + " region=" + forwarded.region();
            case FirstToken token -> "";
            case Ended ended -> "whole=" + ended.whole();
        };
    }
}
