package org.ibissaddle.daemon.path;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.RefusedException;
import org.junit.jupiter.api.Test;

class ModelCallReaderTest {
    private static ModelCall read(String body) throws RefusedException {
        return ModelCallReader.read(body.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertRefusedAsNotRun(String body) {
        assertThatThrownBy(() -> read(body))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        exception -> assertThat(exception.refusal().executionStatus())
                                .isEqualTo(ExecutionStatus.NOT_RUN));
    }

    @Test
    void shouldParseModelAndStream() throws RefusedException {
        ModelCall call =
                read("{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");

        assertThat(call.model()).isEqualTo("m");
        assertThat(call.stream()).isTrue();
    }

    @Test
    void shouldRefuseNonBooleanStream() {
        assertRefusedAsNotRun(
                "{\"model\":\"m\",\"stream\":[{\"ro:tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"");
        assertRefusedAsNotRun("{\"model\":\"m\",\"stream\":[{\"x\":5}],\"messages\":[]}");
    }

    @Test
    void shouldRefuseNonStringModel() {
        assertRefusedAsNotRun("{\"model\":{\"name\":\"m\"},\"messages\":[]}");
    }

    @Test
    void shouldRefuseTruncatedInput() {
        assertRefusedAsNotRun("{\"model\":\"m\"");
        assertRefusedAsNotRun("{\"model\":\"m\",\"messages\":[{\"role\":");
    }
}
