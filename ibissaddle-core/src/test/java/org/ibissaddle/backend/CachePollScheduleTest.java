package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load pattern: the instances of a region poll an engine that holds 12 polls and answers further ones with 429. */
class CachePollScheduleTest {
    private static final int MAX_HELD = 12;
    private static final long MAX_WAIT_MS = 1_000;
    private static final long DURATION_MS = 60_000;

    private record Result(int rejected, int mostWaiting, double pollsPerS) {}

    private record Sent(long atMs, long waitMs, CachePollSchedule schedule) {}

    /** Simulates an engine without news, which holds each poll until its wait ends. */
    private static Result poll(int instances) {
        SplittableRandom random = new SplittableRandom(3);
        PriorityQueue<Sent> next = new PriorityQueue<>(Comparator.comparingLong(Sent::atMs));
        for (int i = 0; i < instances; i++) {
            next.add(new Sent(0, 0, new CachePollSchedule(random)));
        }
        List<Long> heldUntilMs = new ArrayList<>();
        int rejected = 0;
        int most = 0;
        int polls = 0;
        while (next.peek().atMs < DURATION_MS) {
            Sent poll = next.poll();
            heldUntilMs.removeIf(untilMs -> untilMs <= poll.atMs);
            long answeredMs = poll.atMs + poll.waitMs;
            if (heldUntilMs.size() >= MAX_HELD && poll.waitMs > 0) {
                rejected++;
                answeredMs = poll.atMs;
            } else if (poll.waitMs > 0) {
                heldUntilMs.add(answeredMs);
            }
            most = Math.max(most, heldUntilMs.size());
            polls++;
            CachePollSchedule.Poll following = poll.schedule.next(false, MAX_HELD, instances, MAX_WAIT_MS);
            next.add(new Sent(answeredMs + following.delayMs(), following.waitMs(), poll.schedule));
        }
        return new Result(rejected, most, polls * 1_000.0 / DURATION_MS);
    }

    // With a fixed wait of 1 s and a delay of 2 s, a third of 41 instances wait at the same time.
    @ParameterizedTest
    @CsvSource({"2, 1", "11, 2", "41, 9", "127, 27"})
    void shouldNotExceedTheNumberOfPollsThatAnEngineHolds(int instances, double maxPollsPerS) {
        Result result = poll(instances);
        assertThat(result.rejected).isZero();
        assertThat(result.mostWaiting).isLessThanOrEqualTo(MAX_HELD);
        assertThat(result.pollsPerS).isLessThan(maxPollsPerS);
    }

    // Prompts would be sent to servers that have dropped their shared parts long ago.
    @Test
    void shouldPollAnEngineWithNewsAtLeastEvery2500Ms() {
        CachePollSchedule schedule = new CachePollSchedule(new SplittableRandom(1));
        schedule.next(false, MAX_HELD, 41, MAX_WAIT_MS);
        schedule.next(false, MAX_HELD, 41, MAX_WAIT_MS);

        assertThat(schedule.next(true, MAX_HELD, 41, MAX_WAIT_MS).delayMs()).isBetween(1_500L, 2_500L);
    }
}
