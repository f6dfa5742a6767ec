package org.ibissaddle.daemon.timeline;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.Event;
import org.ibissaddle.timeline.EventRingBuffer;
import org.ibissaddle.timeline.EventSource;
import org.ibissaddle.timeline.HybridTimestamp;
import org.ibissaddle.timeline.TimelineEntry;

/**
 * Records the events of the instance in a bounded in-memory buffer.
 *
 * <pre>{@code
 * recorder.record(request, new Event.FirstToken());
 * headers.put(TimelineRecorder.HEADER, recorder.nextTimestamp().toString());
 * recorder.mergeTimestamp(head.header(TimelineRecorder.HEADER));
 * }</pre>
 */
public final class TimelineRecorder {
    /** Header field that carries the sender's hybrid logical clock timestamp between instances. */
    public static final String HEADER = "X-Hlc";

    private static final int MAX_EVENTS = 8192;

    private final EventSource origin;
    private final Clock clock;
    private final EventRingBuffer ring = new EventRingBuffer(MAX_EVENTS);
    private final AtomicReference<HybridTimestamp> latestStamp = new AtomicReference<>(HybridTimestamp.ZERO);

    /**
     * Creates a recorder and records the start of the instance.
     *
     * @param origin the recording instance
     * @param clock time source
     */
    public TimelineRecorder(EventSource origin, Clock clock) {
        this.origin = origin;
        this.clock = clock;
        record(new Event.Started());
    }

    /**
     * Records an event of the instance.
     *
     * @param event what happened
     */
    public void record(Event event) {
        append(Optional.empty(), event);
    }

    /**
     * Records an event of a request.
     *
     * @param request the request
     * @param event what happened
     */
    public void record(RequestId request, Event event) {
        append(Optional.of(request), event);
    }

    private void append(Optional<RequestId> request, Event event) {
        HybridTimestamp at = nextTimestamp();
        ring.append(seq -> new TimelineEntry(origin, seq, at, request, event));
    }

    /**
     * Advances the hybrid logical clock and returns the timestamp to send to another instance.
     *
     * @return a timestamp greater than all earlier ones
     */
    public HybridTimestamp nextTimestamp() {
        long nowMs = clock.nowMs();
        return latestStamp.updateAndGet(stamp -> stamp.next(nowMs));
    }

    /**
     * Merges the timestamp of a received message into the hybrid logical clock.
     *
     * @param header value of the header field, empty if absent
     */
    public void mergeTimestamp(Optional<String> header) {
        header.flatMap(HybridTimestamp::parse).ifPresent(remote -> {
            long nowMs = clock.nowMs();
            latestStamp.updateAndGet(stamp -> stamp.receive(remote, nowMs));
        });
    }

    /**
     * Copies the buffered events.
     *
     * @return the most recent events
     */
    public EventRingBuffer.Snapshot snapshot() {
        return ring.snapshot(origin);
    }
}
