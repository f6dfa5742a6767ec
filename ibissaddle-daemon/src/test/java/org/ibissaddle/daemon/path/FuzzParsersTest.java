package org.ibissaddle.daemon.path;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** No input may crash or hang a parser; what it refuses, it refuses with a type. {@code ./run fuzz} tries more. */
class FuzzParsersTest {
    private static final Duration HANG = Duration.ofSeconds(30);

    @Property(seed = "81", tries = 400)
    void shouldTakeOrRefuseMutatedInput(@ForAll ParserInputs parser, @ForAll long seed) {
        check(parser, parser.input(new SplittableRandom(seed)), seed);
    }

    @Property(seed = "82", tries = 400)
    void shouldTakeOrRefuseArbitraryText(@ForAll ParserInputs parser, @ForAll String text) {
        check(parser, text.getBytes(StandardCharsets.UTF_8), 0);
    }

    @Test
    @Tag("soak")
    void shouldTakeOrRefuseManyMutatedInputs() {
        long tries = Long.getLong("fuzz.tries", 20_000);
        long first = Long.getLong("fuzz.seed", 1);
        for (long seed = first; seed < first + tries; seed++) {
            for (ParserInputs parser : ParserInputs.values()) {
                check(parser, parser.input(new SplittableRandom(seed)), seed);
            }
        }
        System.out.printf("fuzz report: tries=%d seed=%d parsers=%d%n", tries, first, ParserInputs.values().length);
    }

    private static void check(ParserInputs parser, byte[] input, long seed) {
        try {
            assertTimeoutPreemptively(HANG, () -> parser.parse(input));
        } catch (RuntimeException | Error e) {
            String text = new String(input, StandardCharsets.UTF_8);
            throw new AssertionError(parser + " with seed " + seed + " broke on: " + text, e);
        }
    }
}
