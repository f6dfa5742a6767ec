/**
 * Timeline of events across all instances: hybrid logical timestamps, a bounded ring buffer per instance, and a merge
 * in causal order.
 *
 * <pre>{@code
 * EventRing ring = new EventRing(4096);
 * ring.append(seq -> new Entry(origin, seq, stamp, Optional.of(request), new Event.FirstToken()));
 * Timeline line = Timeline.merge(List.of(ring.snapshot(origin)), List.of());
 * line.way(request).forEach(entry -> print(entry));
 * }</pre>
 *
 * Events never contain request or response content.
 */
package org.ibissaddle.timeline;
