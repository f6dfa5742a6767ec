package org.ibissaddle;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.admission.Admissions;
import org.ibissaddle.admission.WorkspaceLimits;
import org.ibissaddle.dispatch.OnceLedger;
import org.ibissaddle.dispatch.OnceLimits;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.Self;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placements;
import org.ibissaddle.placement.Tuning;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.Tickets;

/**
 * The way into the library.
 *
 * <p>Each part is a state machine or a pure function. None has a thread, socket, clock or logger: the current time is
 * passed in as epoch milliseconds, random numbers come from a given generator, and what has to be done outside is
 * returned.
 *
 * <p><b>Read a release note</b>
 *
 * <pre>{@code
 * ReleaseNote note = Ibissaddle.note(text); // throws an exception that lists every fault
 * }</pre>
 *
 * <p><b>Decide where a request is served</b>
 *
 * <pre>{@code
 * WeightedPolicy policy = Ibissaddle.placement();
 * switch (policy.place(work, note, fleet, nowMs, random)) {
 *     case Placement.Serve serve -> send(serve.server());
 *     case Placement.Forward forward -> send(forward.peer());
 *     case Placement.Refuse refuse -> answer(refuse.refusal());
 * }
 * }</pre>
 *
 * <p><b>Run a call at most once</b>
 *
 * <pre>{@code
 * OnceLedger ledger = Ibissaddle.onceLedger(instance, incarnation);
 * switch (ledger.claim(ticket, nowMs)) {
 *     case Claim.Run run -> run.permit().finish(send(call)); // the one and only run
 *     case Claim.Wait wait -> wait.outcome().thenAccept(this::answer);
 *     case Claim.Known known -> answer(known.outcome());
 *     case Claim.Elsewhere elsewhere -> forward(ticket.owner(), call);
 * }
 * }</pre>
 *
 * <p><b>Keep note and beliefs up to date</b>
 *
 * <pre>{@code
 * ControlLoop loop = Ibissaddle.controlLoop(self, seeds, random, nowMs);
 * List<Action> actions = loop.handle(event, nowMs); // to be carried out by the embedding program
 * FleetView fleet = loop.view(nowMs);
 * }</pre>
 */
public final class Ibissaddle {
    private Ibissaddle() {}

    /**
     * Reads a release note that does not build on another one.
     *
     * @param text INI text
     * @return the note
     * @throws NoteRejectedException listing every fault of the text
     */
    public static ReleaseNote note(String text) throws NoteRejectedException {
        return NoteReader.read(text);
    }

    /**
     * Makes the production placement policy.
     *
     * @return a policy that knows nothing yet
     */
    public static WeightedPolicy placement() {
        return Placements.weighted(Tuning.defaults());
    }

    /**
     * Makes admission in which workspaces share pools fairly.
     *
     * @return admission with empty queues
     */
    public static Admission admission() {
        return Admissions.fair();
    }

    /**
     * Makes limits of workspaces that instances split by demand.
     *
     * @return limits that know of no peer yet
     */
    public static WorkspaceLimits limits() {
        return Admissions.limits();
    }

    /**
     * Makes the writer and reader of tickets for calls that may run once only.
     *
     * @param key key of the deployment
     * @return the writer and reader
     */
    public static Tickets tickets(DeploymentKey key) {
        return Tickets.signedWith(key);
    }

    /**
     * Makes the memory of calls that may run once only.
     *
     * @param instance the owning instance
     * @param incarnation its incarnation; tickets for any other are not run
     * @return an empty memory with the usual bounds
     */
    public static OnceLedger onceLedger(InstanceId instance, Incarnation incarnation) {
        return new OnceLedger(instance, incarnation, OnceLimits.DEFAULT);
    }

    /**
     * Makes the state machine that keeps note and beliefs up to date.
     *
     * @param self the own instance
     * @param seeds control addresses of other instances, possibly none
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     * @return the state machine, not ready yet
     */
    public static ControlLoop controlLoop(Self self, List<Address> seeds, RandomGenerator random, long nowMs) {
        return ControlLoop.create(self, seeds, random, nowMs);
    }
}
