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
            PlacementRequest placementRequest, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        if (placementRequest.excludedServers().isEmpty()) {
            recorder.record(
                    placementRequest.request(),
                    new Event.Admitted(recordableWorkspace(placementRequest), placementRequest.forwarded()));
        }
        Placement placement = policy.place(placementRequest, note, fleet, nowMs, random);
        switch (placement) {
            case Placement.Serve serve ->
                recorder.record(
                        placementRequest.request(),
                        new Event.Placed(serve.server().id()));
            case Placement.Forward forward -> {}
            case Placement.Refuse refuse ->
                recorder.record(
                        placementRequest.request(),
                        new Event.Refused(
                                refuse.refusal().type(), refuse.refusal().executionStatus()));
        }
        return placement;
    }

    /** Returns the workspace id, or empty if the workspace is bound to a home region. */
    private static Optional<WorkspaceId> recordableWorkspace(PlacementRequest placementRequest) {
        boolean bound = placementRequest.workspace().homeRegion().isPresent();
        return bound
                ? Optional.empty()
                : Optional.of(placementRequest.workspace().id());
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest placementRequest, Placement placement, long nowMs) {
        RequestId request = placementRequest.request();
        switch (placement) {
            case Placement.Serve serve ->
                recorder.record(
                        request,
                        new Event.Dispatched(
                                serve.server().id(),
                                placementRequest.excludedServers().size()));
            case Placement.Forward forward ->
                recorder.record(
                        request,
                        new Event.Forwarded(forward.peer().id(), forward.peer().region()));
            case Placement.Refuse refuse -> {}
        }
        return new RecordingDispatchHandle(
                policy.recordDispatch(placementRequest, placement, nowMs), request, recorder);
    }

    private record RecordingDispatchHandle(DispatchHandle delegate, RequestId request, TimelineRecorder recorder)
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
