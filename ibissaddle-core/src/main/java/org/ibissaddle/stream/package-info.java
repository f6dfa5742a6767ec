/**
 * Delivery of complete streamed responses: checks chunks so that each character is relayed once and in order, and
 * decides how to recover a response after its connection was lost.
 *
 * <pre>{@code
 * ResponseSequencer sequencer = ResponseSequencer.of(request, MAX_RETAINED_CHARS);
 * switch (sequencer.accept(chunk)) {
 *     case ChunkDecision.Relay relay -> write(relay.text());
 *     case ChunkDecision.Drop drop -> count(drop.reason());
 *     case ChunkDecision.Violation violation -> recover(violation.reason());
 * }
 * }</pre>
 */
package org.ibissaddle.stream;
