package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.peer.Heartbeat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeartbeatTextTest {
    @Test
    void shouldReadWhatItWrites() throws HeartbeatText.MalformedHeartbeatException {
        List<Heartbeat> heartbeats = List.of(
                new Heartbeat(new InstanceId("north-a-001"), 46_655, 1, 40, 3_000),
                new Heartbeat(new InstanceId("north-a-012"), 0, 36, Long.MAX_VALUE, 1),
                new Heartbeat(new InstanceId("x"), 7, 2, 1, 20),
                new Heartbeat(new InstanceId("x" + "y".repeat(100)), 7, 2, 1, 20),
                new Heartbeat(new InstanceId("x" + "y".repeat(101)), 7, 2, 1, 20));

        String text = HeartbeatText.encode(heartbeats);

        assertThat(text).startsWith("0north-a-001 zzz 1 14 2bc,912 0 10 ");
        assertThat(HeartbeatText.decode(text)).isEqualTo(heartbeats);
        assertThat(HeartbeatText.decode("")).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {",", "0a", "0a 1 1 1", "0a 1 1 1 1 1", "0a ? 1 1 1", "5a 1 1 1 1", "-a 1 1 1 1", "0 1 1 1 1"})
    void shouldRefuseAMalformedHeartbeat(String text) {
        assertThatThrownBy(() -> HeartbeatText.decode(text))
                .isInstanceOf(HeartbeatText.MalformedHeartbeatException.class);
    }
}
