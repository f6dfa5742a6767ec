package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AnswerTextTest {
    @Test
    void shouldDependOnModelAndPromptOnly() {
        String answer = AnswerText.answerFor("m", "where is the bear", 40);

        assertThat(AnswerText.answerFor("m", "where is the bear", 40)).isEqualTo(answer);
        assertThat(AnswerText.answerFor("n", "where is the bear", 40)).isNotEqualTo(answer);
        assertThat(AnswerText.answerFor("m", "where is the beer", 40)).isNotEqualTo(answer);
    }

    @Test
    void shouldExtendShorterAnswers() {
        String longer = AnswerText.answerFor("m", "p", 200);

        assertThat(longer).startsWith(AnswerText.answerFor("m", "p", 0)).hasSizeGreaterThan(200);
        assertThat(longer.split(" ", -1)).hasSize(200);
        assertThat(longer.getBytes(StandardCharsets.UTF_8)).hasSizeGreaterThan(longer.length());
    }
}
