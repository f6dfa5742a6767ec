package org.ibissaddle.daemon.timeline;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.Entry;
import org.ibissaddle.timeline.Event;
import org.ibissaddle.timeline.EventRing;
import org.ibissaddle.timeline.Origin;
import org.ibissaddle.timeline.Stamp;

/**
 * Records what happens at the instance, in memory only.
 *
 * <pre>{@code
 * recorder.record(request, new Event.FirstToken());
 * headers.put(Recorder.HEADER, recorder.send().toString());
 * recorder.receive(head.header(Recorder.HEADER));
 * }</pre>
 */
public final class Recorder {
    /** Header field that carries the sender's stamp between instances. */
    public static final String HEADER = "X-Hlc";

    private static final int CAPACITY = 8192;

    private final Origin origin;
    private final Clock clock;
    private final EventRing ring = new EventRing(CAPACITY);
    private final AtomicReference<Stamp> latest = new AtomicReference<>(Stamp.ZERO);

    /**
     * Starts to record.
     *
     * @param origin the instance
     * @param clock source of time
     */
    public Recorder(Origin origin, Clock clock) {
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
        Stamp at = send();
        ring.append(seq -> new Entry(origin, seq, at, request, event));
    }

    /**
     * Returns the stamp that a message to another instance carries.
     *
     * @return a stamp above all that were recorded before
     */
    public Stamp send() {
        long nowMs = clock.nowMs();
        return latest.updateAndGet(stamp -> stamp.next(nowMs));
    }

    /**
     * Takes the stamp that came with a message.
     *
     * @param header value of the header field, empty when there was none
     */
    public void receive(Optional<String> header) {
        header.flatMap(Stamp::parse).ifPresent(remote -> {
            long nowMs = clock.nowMs();
            latest.updateAndGet(stamp -> stamp.receive(remote, nowMs));
        });
    }

    /**
     * Copies what is held.
     *
     * @return the latest events
     */
    public EventRing.Snapshot snapshot() {
        return ring.snapshot(origin);
    }
}
