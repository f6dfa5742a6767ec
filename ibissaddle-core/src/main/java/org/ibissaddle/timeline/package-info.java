/**
 * Time line of events over all instances: stamps of a hybrid logical clock, a bounded ring per instance, a causal
 * merge.
 *
 * <pre>{@code
 * EventRing ring = new EventRing(4096);
 * ring.append(seq -> new Entry(origin, seq, stamp, Optional.of(request), new Event.FirstToken()));
 * Timeline line = Timeline.merge(List.of(ring.snapshot(origin)), List.of());
 * line.way(request).forEach(entry -> print(entry));
 * }</pre>
 *
 * No event carries content of a request or an answer.
 */
package org.ibissaddle.timeline;
