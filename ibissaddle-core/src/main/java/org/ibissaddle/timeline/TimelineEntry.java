package org.ibissaddle.timeline;

import java.util.Optional;
import org.ibissaddle.id.RequestId;

/**
 * An event with its position in the timeline.
 *
 * @param origin process that recorded the event
 * @param seq sequence number at the origin, from 0 without gaps
 * @param at hybrid logical timestamp
 * @param request request that the event belongs to, empty if there is none
 * @param event the event
 */
public record TimelineEntry(
        EventSource origin, long seq, HybridTimestamp at, Optional<RequestId> request, Event event) {}
