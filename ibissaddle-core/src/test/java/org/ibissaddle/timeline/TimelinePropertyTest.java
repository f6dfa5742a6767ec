package org.ibissaddle.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

class TimelinePropertyTest {
    private static final EventSource ORIGIN =
            new EventSource(new InstanceId("a"), new Incarnation(1, 2), new Region("north"), new Zone("n-1"));
    private static final EventRingBuffer.Snapshot RING = new EventRingBuffer.Snapshot(
            ORIGIN,
            1,
            List.of(new TimelineEntry(
                    ORIGIN, 0, new HybridTimestamp(1, 0), Optional.empty(), new Event.NoteInForce(3, "d"))));

    @Property(seed = "71", tries = 300)
    void shouldOrderReceiveAfterSend(
            @ForAll @IntRange(max = 30_000) int senderMs, @ForAll @IntRange(max = 30_000) int receiverMs) {
        HybridTimestamp sent = HybridTimestamp.ZERO.next(senderMs);
        HybridTimestamp received = HybridTimestamp.ZERO.next(receiverMs).receive(sent, receiverMs);
        assertThat(received).isGreaterThan(sent);
    }

    @Property(seed = "72", tries = 300)
    void shouldIncreaseStrictly(@ForAll List<@IntRange(max = 1000) Integer> clock) {
        HybridTimestamp last = HybridTimestamp.ZERO;
        for (int nowMs : clock) {
            HybridTimestamp next = last.next(nowMs);
            assertThat(next).isGreaterThan(last);
            assertThat(HybridTimestamp.parse(next.toString())).contains(next);
            last = next;
        }
    }

    @Property(seed = "73", tries = 300)
    void shouldRejectInvalidMutatedTextWithTypedException(
            @ForAll @IntRange(max = 400) int at, @ForAll char replacement) {
        String json = TimelineJson.write(RING);
        int index = at % json.length();
        String mutated = json.substring(0, index) + replacement + json.substring(index + 1);
        try {
            TimelineJson.read(mutated);
        } catch (TimelineFormatException e) {
            assertThat(e).hasMessageContaining("invalid timeline");
        }
    }
}
