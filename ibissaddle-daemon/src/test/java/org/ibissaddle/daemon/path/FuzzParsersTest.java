package org.ibissaddle.daemon.path;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against input that makes a parser hang or throw anything but its documented exception. {@code ./run fuzz} runs
 * more inputs.
 */
class FuzzParsersTest {
    private static final Duration PARSE_TIMEOUT = Duration.ofSeconds(30);

    @Property(seed = "81", tries = 400)
    void shouldAcceptOrRejectMutatedInput(@ForAll ParserInputs parser, @ForAll long seed) {
        checkContract(parser, parser.input(new SplittableRandom(seed)), seed);
    }

    @Property(seed = "82", tries = 400)
    void shouldAcceptOrRejectArbitraryText(@ForAll ParserInputs parser, @ForAll String text) {
        checkContract(parser, text.getBytes(StandardCharsets.UTF_8), 0);
    }

    @Test
    @Tag("soak")
    void shouldAcceptOrRejectManyMutatedInputs() {
        long tries = Long.getLong("fuzz.tries", 20_000);
        long firstSeed = Long.getLong("fuzz.seed", 1);
        for (long seed = firstSeed; seed < firstSeed + tries; seed++) {
            for (ParserInputs parser : ParserInputs.values()) {
                checkContract(parser, parser.input(new SplittableRandom(seed)), seed);
            }
        }
        System.out.printf("fuzz report: tries=%d seed=%d parsers=%d%n", tries, firstSeed, ParserInputs.values().length);
    }

    private static void checkContract(ParserInputs parser, byte[] input, long seed) {
        try {
            assertTimeoutPreemptively(PARSE_TIMEOUT, () -> parser.parse(input));
        } catch (RuntimeException | Error e) {
            String text = new String(input, StandardCharsets.UTF_8);
            throw new AssertionError(parser + " with seed " + seed + " failed on input: " + text, e);
        }
    }
}
