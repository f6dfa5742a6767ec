package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class PeerMessageTest {
    private static final String STATE_OF_EARLIER_VERSION = """
            {"id":"i","incarnation":1,"sequence":1,"region":"north","zone":"north-a","callerAddress":"10.0.0.1:1",
             "peerAddress":"10.0.0.1:2","ready":true,"draining":false,"revision":1,"platformReachable":true,
             "services":{}}""";

    private static final String MESSAGE_OF_EARLIER_VERSION =
            """
            {"sender":%s,"others":[{"state":%s,"ageMs":40}],"knownRevision":1,"wantsChanges":false,"changes":[]}""".formatted(STATE_OF_EARLIER_VERSION, STATE_OF_EARLIER_VERSION);

    // During an update, instances would not know those of the earlier version.
    @Test
    void shouldReadAMessageOfTheEarlierVersion() throws IOException {
        PeerMessage message = JsonMapper.builder().build().readValue(MESSAGE_OF_EARLIER_VERSION, PeerMessage.class);

        assertThat(message.toPeerUpdate().states()).hasSize(1);
        assertThat(message.toPeerUpdate().heartbeats()).isEmpty();
        assertThat(message.heartbeats()).isNull();
        assertThat(message.feed()).isNull();
    }

    // During an update, instances would refuse the messages of those of the earlier version.
    @Test
    void shouldReadAStateWithoutTheNumberOfKnownInstances() throws JsonProcessingException {
        PeerMessage.State state =
                JsonMapper.builder().build().readValue(STATE_OF_EARLIER_VERSION, PeerMessage.State.class);

        assertThat(state.toPeerState().knownInstances()).isZero();
    }
}
