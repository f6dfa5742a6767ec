package org.ibissaddle.daemon.timeline;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;
import org.ibissaddle.timeline.Event;

/** Records what another policy decides and how the work went. */
public final class RecordingPolicy implements PlacementPolicy {
    private final PlacementPolicy policy;
    private final Recorder recorder;

    /**
     * Records the work of a policy.
     *
     * @param policy the policy
     * @param recorder where events go
     */
    public RecordingPolicy(PlacementPolicy policy, Recorder recorder) {
        this.policy = policy;
        this.recorder = recorder;
    }

    @Override
    public Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        if (work.tried().isEmpty()) {
            recorder.record(work.request(), new Event.Admitted(publicName(work), work.forwarded()));
        }
        Placement placement = policy.place(work, note, fleet, nowMs, random);
        switch (placement) {
            case Placement.Serve serve ->
                recorder.record(work.request(), new Event.Placed(serve.server().id()));
            case Placement.Forward forward -> {}
            case Placement.Refuse refuse ->
                recorder.record(
                        work.request(),
                        new Event.Refused(
                                refuse.refusal().type(), refuse.refusal().fate()));
        }
        return placement;
    }

    private static Optional<WorkspaceId> publicName(Work work) {
        boolean bound = work.workspace().home().isPresent();
        return bound ? Optional.empty() : Optional.of(work.workspace().id());
    }

    @Override
    public Running started(Work work, Placement placement, long nowMs) {
        RequestId request = work.request();
        switch (placement) {
            case Placement.Serve serve ->
                recorder.record(
                        request,
                        new Event.Dispatched(serve.server().id(), work.tried().size()));
            case Placement.Forward forward ->
                recorder.record(
                        request,
                        new Event.Forwarded(forward.peer().id(), forward.peer().region()));
            case Placement.Refuse refuse -> {}
        }
        return new Recorded(policy.started(work, placement, nowMs), request, recorder);
    }

    private record Recorded(Running running, RequestId request, Recorder recorder) implements Running {
        @Override
        public void firstToken(long nowMs) {
            recorder.record(request, new Event.FirstToken());
            running.firstToken(nowMs);
        }

        @Override
        public void generated(int tokens) {
            running.generated(tokens);
        }

        @Override
        public void ended(boolean succeeded, long nowMs) {
            recorder.record(request, new Event.Ended(succeeded));
            running.ended(succeeded, nowMs);
        }
    }
}
