package org.ibissaddle.timeline;

import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.RefusalType;

/** Event at an instance. Events never contain request or response content. */
public sealed interface Event {
    /** The instance started. */
    record Started() implements Event {}

    /** The instance started to drain. */
    record Draining() implements Event {}

    /**
     * A release note took effect.
     *
     * @param number number of the release note
     * @param digest digest of its text
     */
    record NoteInForce(long number, String digest) implements Event {}

    /**
     * The health state of another instance or a backend server, as seen by this instance, changed.
     *
     * @param member name of the instance or backend server
     * @param health the new state
     */
    record HealthChanged(String member, Health health) implements Event {}

    /**
     * A request was admitted.
     *
     * @param workspace its workspace; empty if the workspace is bound to a region, because its name must not leave that
     *     region
     * @param forwarded whether another instance forwarded the request
     */
    record Admitted(Optional<WorkspaceId> workspace, boolean forwarded) implements Event {}

    /**
     * A request was rejected.
     *
     * @param type type of the refusal
     * @param fate whether the request was executed
     */
    record Refused(RefusalType type, ExecutionStatus fate) implements Event {}

    /**
     * A server was selected for a request.
     *
     * @param server the server
     */
    record Placed(ServerId server) implements Event {}

    /**
     * A request is about to be sent to a server.
     *
     * @param server the server
     * @param attempt number of the attempt, from 0
     */
    record Dispatched(ServerId server, int attempt) implements Event {}

    /**
     * A request is about to be forwarded to another instance.
     *
     * @param to the instance
     * @param region its region
     */
    record Forwarded(InstanceId to, Region region) implements Event {}

    /** The first part of the response was received. */
    record FirstToken() implements Event {}

    /**
     * A request has ended.
     *
     * @param whole whether its response was complete
     */
    record Ended(boolean whole) implements Event {}

    /**
     * Returns whether the event indicates a failure.
     *
     * @return whether it indicates a failure
     */
    default boolean indicatesFailure() {
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
     * Returns the name of the event type.
     *
     * @return for example {@code first-token}
     */
    default String kind() {
        return KindName.of(getClass());
    }

    /**
     * Formats the attributes of the event.
     *
     * @return key=value pairs, empty if the event has none
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
                "type=" + refused.type().wireName() + " ran=" + refused.fate().wireName();
            case Placed placed -> "server=" + placed.server();
            case Dispatched dispatched -> "server=" + dispatched.server() + " attempt=" + dispatched.attempt();
            case Forwarded forwarded -> "to=" + forwarded.to() + " region=" + forwarded.region();
            case FirstToken token -> "";
            case Ended ended -> "whole=" + ended.whole();
        };
    }
}
