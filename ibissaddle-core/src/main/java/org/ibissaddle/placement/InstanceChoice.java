package org.ibissaddle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.placement.InstanceOrder;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;

/**
 * Answers callers that ask which instance to use.
 *
 * <pre>{@code
 * InstanceChoice.Answer answer = InstanceChoice.answer(ask, note, fleet, nowMs, random);
 * }</pre>
 */
public final class InstanceChoice {
    private static final long VALID_MS = 10_000;
    private static final long VALID_DURING_CUT_MS = 2_000;
    private static final int MOST = 8;

    private InstanceChoice() {}

    /**
     * What a caller asks for.
     *
     * @param workspace its workspace
     * @param zone its availability zone, empty for that of the instance that is asked
     * @param prefix hash of the first block of its prompt, empty when it has none
     */
    public record Ask(WorkspaceId workspace, Optional<Zone> zone, OptionalLong prefix) {}

    /**
     * The answer.
     *
     * @param instances instances to use, best first; empty when none may serve the workspace
     * @param validUntilMs when to ask again at the latest, epoch milliseconds
     */
    public record Answer(List<InstanceView> instances, long validUntilMs) {
        /** Copies the list. */
        public Answer {
            instances = List.copyOf(instances);
        }
    }

    /**
     * Orders the instances for a caller. Only instances of regions that the workspace may use are named; leaving ones
     * never are; suspect ones come last, and while there are any the answer holds for a shorter time.
     *
     * @param ask what the caller asks for
     * @param note the note in force
     * @param fleet current beliefs
     * @param nowMs current time, epoch milliseconds
     * @param random source of random numbers
     * @return the answer; without instances when the note does not declare the workspace
     */
    public static Answer answer(Ask ask, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        Optional<Workspace> workspace = note.workspace(ask.workspace());
        List<InstanceView> usable = new ArrayList<>();
        boolean cut = false;
        if (workspace.isPresent()) {
            for (InstanceView instance : all(fleet)) {
                boolean taken =
                        instance.health().takesNewWork() && workspace.get().allows(instance.region());
                if (taken) {
                    usable.add(instance);
                    cut |= instance.health() == Health.SUSPECT;
                }
            }
        }
        Region here = fleet.self().region();
        Zone zone = ask.zone().orElse(fleet.self().zone());
        List<InstanceView> ordered = InstanceOrder.order(usable, here, zone, ask.prefix(), random);
        long valid = cut || usable.isEmpty() ? VALID_DURING_CUT_MS : VALID_MS;
        return new Answer(ordered.subList(0, Math.min(MOST, ordered.size())), nowMs + valid);
    }

    private static List<InstanceView> all(FleetView fleet) {
        List<InstanceView> all = new ArrayList<>(fleet.peers());
        all.add(fleet.self());
        return all;
    }
}
