package org.ibissaddle;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.admission.Admissions;
import org.ibissaddle.admission.WorkspaceRateLimiter;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.dispatch.AtMostOnceLimits;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.PlacementPolicies;
import org.ibissaddle.placement.PlacementTuning;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.TicketCodec;

/**
 * Entry point of the library.
 *
 * <p>Each component is a state machine or a pure function without threads, sockets, clocks or loggers. Callers pass in
 * the current time as epoch milliseconds and the random number generator, and perform the side effects that a component
 * returns.
 *
 * <p><b>Read a release note</b>
 *
 * <pre>{@code
 * ReleaseNote note = Ibissaddle.note(text); // throws an exception that lists every error
 * }</pre>
 *
 * <p><b>Select where a request is served</b>
 *
 * <pre>{@code
 * WeightedPolicy policy = Ibissaddle.placement();
 * switch (policy.place(request, note, fleet, nowMs, random)) {
 *     case Placement.Serve serve -> send(serve.server());
 *     case Placement.Forward forward -> send(forward.peer());
 *     case Placement.Refuse refuse -> answer(refuse.refusal());
 * }
 * }</pre>
 *
 * <p><b>Execute a call at most once</b>
 *
 * <pre>{@code
 * AtMostOnceLedger ledger = Ibissaddle.onceLedger(instance, incarnation);
 * switch (ledger.claim(ticket, nowMs)) {
 *     case Claim.Run run -> run.permit().complete(send(call)); // the only execution
 *     case Claim.Wait wait -> wait.outcome().thenAccept(this::answer);
 *     case Claim.Known known -> answer(known.outcome());
 *     case Claim.OwnedElsewhere elsewhere -> forward(ticket.owner(), call);
 * }
 * }</pre>
 *
 * <p><b>Maintain the release note and the view of the fleet</b>
 *
 * <pre>{@code
 * ControlLoop loop = Ibissaddle.controlLoop(self, seeds, random, nowMs);
 * List<ControlLoopAction> actions = loop.handle(event, nowMs); // executed by the embedding application
 * FleetView fleet = loop.view(nowMs);
 * }</pre>
 */
public final class Ibissaddle {
    private Ibissaddle() {}

    /**
     * Parses a release note that has no base note.
     *
     * @param text INI text
     * @return the release note
     * @throws NoteRejectedException if the text is invalid; lists every error
     */
    public static ReleaseNote note(String text) throws NoteRejectedException {
        return NoteReader.read(text);
    }

    /**
     * Creates the default placement policy.
     *
     * @return a policy without observations
     */
    public static WeightedPolicy placement() {
        return PlacementPolicies.weighted(PlacementTuning.defaults());
    }

    /**
     * Creates admission control that shares pools fairly between workspaces.
     *
     * @return admission control with empty queues
     */
    public static Admission admission() {
        return Admissions.fair();
    }

    /**
     * Creates workspace limits that the instances divide among themselves by demand.
     *
     * @return limits without known peers
     */
    public static WorkspaceRateLimiter limits() {
        return Admissions.limits();
    }

    /**
     * Creates the component that issues and verifies tickets for calls that must run at most once.
     *
     * @param key signing key of the deployment
     * @return the ticket issuer and verifier
     */
    public static TicketCodec tickets(DeploymentKey key) {
        return TicketCodec.withKey(key);
    }

    /**
     * Creates the ledger of calls that must run at most once.
     *
     * @param instance the instance that owns the ledger
     * @param incarnation its current incarnation; tickets for any other are not executed
     * @return an empty ledger with default limits
     */
    public static AtMostOnceLedger onceLedger(InstanceId instance, Incarnation incarnation) {
        return new AtMostOnceLedger(instance, incarnation, AtMostOnceLimits.DEFAULT);
    }

    /**
     * Creates the state machine that maintains the release note and the view of the fleet.
     *
     * @param self the local instance
     * @param seeds control addresses of other instances, possibly none
     * @param random random number generator
     * @param nowMs current time, epoch milliseconds
     * @return the state machine, not ready yet
     */
    public static ControlLoop controlLoop(LocalInstance self, List<Address> seeds, RandomGenerator random, long nowMs) {
        return ControlLoop.create(self, seeds, random, nowMs);
    }
}
