package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ResponseTextTest {
    @Test
    void shouldDependOnModelAndPromptOnly() {
        String answer = ResponseText.textFor("m", "where is the bear", 40);

        assertThat(ResponseText.textFor("m", "where is the bear", 40)).isEqualTo(answer);
        assertThat(ResponseText.textFor("n", "where is the bear", 40)).isNotEqualTo(answer);
        assertThat(ResponseText.textFor("m", "where is the beer", 40)).isNotEqualTo(answer);
    }

    @Test
    void shouldExtendShorterAnswers() {
        String longer = ResponseText.textFor("m", "p", 200);

        assertThat(longer).startsWith(ResponseText.textFor("m", "p", 0)).hasSizeGreaterThan(200);
        assertThat(longer.split(" ", -1)).hasSize(200);
        assertThat(longer.getBytes(StandardCharsets.UTF_8)).hasSizeGreaterThan(longer.length());
    }
}
