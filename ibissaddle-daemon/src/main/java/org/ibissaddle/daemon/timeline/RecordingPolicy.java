package org.ibissaddle.daemon.timeline;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.timeline.Event;

/** Placement policy that records the decisions of another policy and the progress of the requests. */
public final class RecordingPolicy implements PlacementPolicy {
    private final PlacementPolicy policy;
    private final TimelineRecorder recorder;

    /**
     * Wraps a policy.
     *
     * @param policy policy that makes the decisions
     * @param recorder recorder of the events
     */
    public RecordingPolicy(PlacementPolicy policy, TimelineRecorder recorder) {
        this.policy = policy;
        this.recorder = recorder;
    }

    @Override
    public Placement place(
            PlacementRequest work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        if (work.excludedServers().isEmpty()) {
            recorder.record(work.request(), new Event.Admitted(recordableWorkspace(work), work.forwarded()));
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

    /** Returns the workspace id, or empty if the workspace is bound to a home region. */
    private static Optional<WorkspaceId> recordableWorkspace(PlacementRequest work) {
        boolean bound = work.workspace().homeRegion().isPresent();
        return bound ? Optional.empty() : Optional.of(work.workspace().id());
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest work, Placement placement, long nowMs) {
        RequestId request = work.request();
        switch (placement) {
            case Placement.Serve serve ->
                recorder.record(
                        request,
                        new Event.Dispatched(
                                serve.server().id(), work.excludedServers().size()));
            case Placement.Forward forward ->
                recorder.record(
                        request,
                        new Event.Forwarded(forward.peer().id(), forward.peer().region()));
            case Placement.Refuse refuse -> {}
        }
        return new RecordingRunning(policy.recordDispatch(work, placement, nowMs), request, recorder);
    }

    private record RecordingRunning(DispatchHandle delegate, RequestId request, TimelineRecorder recorder)
            implements DispatchHandle {
        @Override
        public void firstToken(long nowMs) {
            recorder.record(request, new Event.FirstToken());
            delegate.firstToken(nowMs);
        }

        @Override
        public void generated(int tokens) {
            delegate.generated(tokens);
        }

        @Override
        public void completed(boolean succeeded, long nowMs) {
            recorder.record(request, new Event.Ended(succeeded));
            delegate.completed(succeeded, nowMs);
        }
    }
}
