package org.ibissaddle.daemon.path;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.RefusedException;
import org.junit.jupiter.api.Test;

class ModelCallReaderTest {
    private static ModelCall read(String body) throws RefusedException {
        return ModelCallReader.read(body.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertNotRun(String body) {
        assertThatThrownBy(() -> read(body))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        refused -> assertThat(refused.refusal().fate()).isEqualTo(Fate.NOT_RUN));
    }

    @Test
    void shouldReadACall() throws RefusedException {
        ModelCall call =
                read("{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");

        assertThat(call.model()).isEqualTo("m");
        assertThat(call.stream()).isTrue();
    }

    @Test
    void shouldRefuseAnObjectInPlaceOfAFlag() {
        assertNotRun("{\"model\":\"m\",\"stream\":[{\"ro:tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"");
        assertNotRun("{\"model\":\"m\",\"stream\":[{\"x\":5}],\"messages\":[]}");
    }

    @Test
    void shouldRefuseAModelThatIsNoText() {
        assertNotRun("{\"model\":{\"name\":\"m\"},\"messages\":[]}");
    }

    @Test
    void shouldRefuseInputThatEndsEarly() {
        assertNotRun("{\"model\":\"m\"");
        assertNotRun("{\"model\":\"m\",\"messages\":[{\"role\":");
    }
}
