package org.ibissaddle.timeline;

import java.util.Optional;
import org.ibissaddle.id.RequestId;

/**
 * An event with its place in the time line.
 *
 * @param origin where it happened
 * @param seq its number at its origin, from 0 without holes
 * @param at when it happened
 * @param request the request that it belongs to
 * @param event what happened
 */
public record Entry(Origin origin, long seq, Stamp at, Optional<RequestId> request, Event event) {}
