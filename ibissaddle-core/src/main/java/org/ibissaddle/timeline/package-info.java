/**
 * Timeline of events across all instances: hybrid logical timestamps, a bounded ring buffer per instance, and a merge
 * in causal order.
 *
 * <pre>{@code
 * EventRingBuffer ring = new EventRingBuffer(4096);
 * ring.append(seq -> new TimelineEntry(origin, seq, stamp, Optional.of(request), new Event.FirstToken()));
 * Timeline line = Timeline.merge(List.of(ring.snapshot(origin)), List.of());
 * line.eventsOf(request).forEach(entry -> print(entry));
 * }</pre>
 *
 * Events never contain request or response content.
 */
package org.ibissaddle.timeline;
